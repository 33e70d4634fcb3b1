#ifndef ALMOND_STORAGE_LOG_FILE_H_
#define ALMOND_STORAGE_LOG_FILE_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "libalmond/storage/storage_file.h"

namespace almond {

/// A file of records to which synced batches are appended. Each batch is one
/// frame with a sequence number and checksums. After each sync an empty frame
/// is written as a marker, which is synced together with the next batch. A
/// marker proves that all frames before it had been synced; a frame with
/// records proves it for all but the marker directly before it. A damaged frame
/// that is proven to have been synced is an error; any other can only be an
/// incomplete write.
class log_file {
 public:
  struct open_result;

  /// Opens an existing file and truncates an incomplete write at its end.
  /// @returns the file and its records, or storage_error, also if a synced
  ///   frame is damaged
  static boost::leaf::result<open_result> Open(const std::string& path);
  /// Creates an empty file, or truncates an existing one.
  static boost::leaf::result<void> Create(const std::string& path);

  /// Appends records with one write and one sync. Must not be called if
  /// NeedsRewrite.
  /// @returns nothing once they are durable, or storage_error
  boost::leaf::result<void> Append(const std::vector<std::string>& records);
  /// Replaces the whole content by a new file; used to drop the oldest records,
  /// and after a failed sync.
  /// @returns nothing once the records are durable, or storage_error
  boost::leaf::result<void> Rewrite(const std::vector<std::string>& records);
  /// @returns true after a failed sync or rewrite, until a Rewrite succeeds. A
  ///   later sync of the same file says nothing about bytes that were written
  ///   before the failed one.
  bool NeedsRewrite() const { return needs_rewrite_; }
  std::uint64_t Size() const { return size_; }

 private:
  log_file(storage_file file, std::uint64_t size, std::uint64_t sequence,
           bool marker_due)
      : file_(std::move(file)),
        size_(size),
        sequence_(sequence),
        marker_due_(marker_due) {}
  boost::leaf::result<void> WriteSyncMarker();

  storage_file file_;
  std::uint64_t size_;
  std::uint64_t sequence_;  // sequence number of the next frame
  bool marker_due_;         // the last frame has records
  bool needs_rewrite_ = false;
};

struct log_file::open_result {
  log_file file;
  std::vector<std::string> records;
  std::uint64_t truncated_bytes = 0;  ///< size of the incomplete write
};

}  // namespace almond

#endif  // ALMOND_STORAGE_LOG_FILE_H_
