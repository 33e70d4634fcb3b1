#ifndef ALMOND_STORAGE_LOG_FILE_H_
#define ALMOND_STORAGE_LOG_FILE_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "libalmond/storage/storage_file.h"

namespace almond {

/// A file of records that grows by synced batches. Each batch is one frame with
/// a sequence number and checksums. After each sync an empty frame marks that
/// the sync was done; so a damaged frame with a valid frame after it was synced
/// and is an error, and one without can only be an unfinished write.
class log_file {
 public:
  struct opened;

  /// Opens an existing file and cuts off an unfinished write at its end.
  /// @returns the file and its records; or storage_error, also if a synced part
  ///   is damaged
  static boost::leaf::result<opened> Open(const std::string& path);
  /// Creates an empty file, or truncates an existing one.
  static boost::leaf::result<void> Create(const std::string& path);

  /// Appends records with one write and one sync.
  /// @returns nothing once they are durable, or storage_error
  boost::leaf::result<void> Append(const std::vector<std::string>& records);
  /// Replaces the whole content, to drop the front.
  /// @returns nothing once the records are durable, or storage_error
  boost::leaf::result<void> Rewrite(const std::vector<std::string>& records);
  std::uint64_t Size() const { return size_; }

 private:
  log_file(storage_file file, std::uint64_t size, std::uint64_t sequence)
      : file_(std::move(file)), size_(size), sequence_(sequence) {}
  boost::leaf::result<void> WriteSyncMark();

  storage_file file_;
  std::uint64_t size_;
  std::uint64_t sequence_;  // of the next frame
};

struct log_file::opened {
  log_file file;
  std::vector<std::string> records;
  std::uint64_t cut_bytes = 0;  ///< length of the unfinished write
};

}  // namespace almond

#endif  // ALMOND_STORAGE_LOG_FILE_H_
