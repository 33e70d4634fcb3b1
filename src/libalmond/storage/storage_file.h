#ifndef ALMOND_STORAGE_STORAGE_FILE_H_
#define ALMOND_STORAGE_STORAGE_FILE_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "libalmond/storage/storage_error.h"

namespace almond {

/// An open file or folder of the data folder. All errors are storage_error.
class storage_file {
 public:
  /// @param flags for open(2); O_CLOEXEC is added
  static boost::leaf::result<storage_file> Open(const std::string& path,
                                                int flags);
  ~storage_file();
  storage_file(storage_file&& other) noexcept;
  storage_file& operator=(storage_file&& other) noexcept;
  storage_file(const storage_file&) = delete;
  storage_file& operator=(const storage_file&) = delete;

  /// @returns the whole content
  boost::leaf::result<std::string> ReadAll() const;
  /// Writes all bytes at an offset.
  boost::leaf::result<void> Write(std::uint64_t offset, std::string_view bytes);
  /// Makes everything written so far durable.
  boost::leaf::result<void> Sync();
  /// Like Sync, but also makes the metadata durable; used for folders.
  boost::leaf::result<void> SyncWithMetadata();
  boost::leaf::result<void> Truncate(std::uint64_t size);
  /// @returns false if the file is already locked
  bool TryLock();
  const std::string& Path() const { return path_; }

 private:
  storage_file(std::string path, int descriptor)
      : path_(std::move(path)), descriptor_(descriptor) {}
  boost::leaf::error_id Error(const std::string& action,
                              std::uint64_t offset) const;

  std::string path_;
  int descriptor_ = -1;
};

/// Makes the creation and renaming of files in a folder durable.
/// @returns nothing, or storage_error
boost::leaf::result<void> SyncFolder(const std::string& folder);

/// Replaces a file atomically by renaming a temporary file, so that a reader
/// finds either the old or the new content.
/// @returns nothing once the content is durable, or storage_error
boost::leaf::result<void> ReplaceFile(const std::string& path,
                                      std::string_view content);

/// @returns the CRC32 of the bytes
std::uint32_t Crc32(std::string_view bytes);

}  // namespace almond

#endif  // ALMOND_STORAGE_STORAGE_FILE_H_
