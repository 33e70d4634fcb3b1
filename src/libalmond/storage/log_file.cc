#include "libalmond/storage/log_file.h"

#include <fcntl.h>

#include <boost/leaf.hpp>
#include <filesystem>
#include <utility>

#include "libalmond/storage/log_frame.h"

namespace almond {
namespace {

namespace leaf = boost::leaf;

constexpr std::uint64_t kFirstSequence = 1;

struct scan_result {
  std::vector<std::string> records;
  std::size_t valid_bytes = 0;
  std::uint64_t next_sequence = kFirstSequence;
  /// Size of the part that the last marker proves to have been synced.
  std::size_t synced_bytes = 0;
  bool ends_with_records = false;
};

/// @param offset place of a damaged frame
/// @param sequence its sequence number
/// @returns true if a later frame proves that it had been synced
bool IsProvenSynced(std::string_view bytes, std::size_t offset,
                    std::uint64_t sequence) {
  auto found = log_frame::FindHeader(bytes, offset + 1, sequence + 1);
  while (found) {
    if (found->is_marker || found->sequence > sequence + 1) return true;
    found = log_frame::FindHeader(bytes, found->offset + 1, sequence + 1);
  }
  return false;
}

leaf::result<scan_result> Scan(const std::string& path,
                               std::string_view bytes) {
  scan_result result;
  while (result.valid_bytes < bytes.size()) {
    const auto frame = log_frame::Decode(bytes, result.valid_bytes);
    if (!frame || frame->sequence != result.next_sequence) {
      if (!frame &&
          !IsProvenSynced(bytes, result.valid_bytes, result.next_sequence)) {
        break;
      }
      return leaf::new_error(storage_error{
          path, result.valid_bytes,
          "a synced part of the log is damaged; restore the file or empty the "
          "data folder so that the replica rejoins as a new member"});
    }
    if (!frame->AppendRecordsTo(result.records)) {
      return leaf::new_error(
          storage_error{path, result.valid_bytes,
                        "the record lengths do not match the frame"});
    }
    result.ends_with_records = !frame->payload.empty();
    if (!result.ends_with_records) result.synced_bytes = result.valid_bytes;
    result.valid_bytes += log_frame::kHeaderBytes + frame->payload.size();
    ++result.next_sequence;
  }
  return result;
}

}  // namespace

leaf::result<log_file::open_result> log_file::Open(const std::string& path) {
  BOOST_LEAF_AUTO(file, storage_file::Open(path, O_RDWR));
  BOOST_LEAF_AUTO(bytes, file.ReadAll());
  BOOST_LEAF_AUTO(scan, Scan(path, bytes));
  const std::uint64_t truncated = bytes.size() - scan.valid_bytes;
  if (truncated > 0) BOOST_LEAF_CHECK(file.Truncate(scan.valid_bytes));
  // An earlier process may have ended between a write and its sync, or after a
  // failed sync; the records read here must be durable before anything is
  // acknowledged. A sync alone leaves out what a failed one has given up.
  BOOST_LEAF_CHECK(
      file.Write(scan.synced_bytes,
                 std::string_view(bytes).substr(
                     scan.synced_bytes, scan.valid_bytes - scan.synced_bytes)));
  BOOST_LEAF_CHECK(file.Sync());
  log_file result(std::move(file), scan.valid_bytes, scan.next_sequence,
                  scan.ends_with_records);
  return open_result{std::move(result), std::move(scan.records), truncated};
}

leaf::result<void> log_file::Create(const std::string& path) {
  return ReplaceFile(path, "");
}

leaf::result<void> log_file::WriteSyncMarker() {
  const std::string marker = log_frame::Encode(sequence_, {});
  BOOST_LEAF_CHECK(file_.Write(size_, marker));
  size_ += marker.size();
  ++sequence_;
  marker_due_ = false;
  return {};
}

leaf::result<void> log_file::Append(const std::vector<std::string>& records) {
  if (marker_due_) BOOST_LEAF_CHECK(WriteSyncMarker());
  const std::string frame = log_frame::Encode(sequence_, records);
  BOOST_LEAF_CHECK(file_.Write(size_, frame));
  needs_rewrite_ = true;
  BOOST_LEAF_CHECK(file_.Sync());
  needs_rewrite_ = false;
  size_ += frame.size();
  ++sequence_;
  marker_due_ = true;
  return WriteSyncMarker();
}

leaf::result<void> log_file::Rewrite(const std::vector<std::string>& records) {
  needs_rewrite_ = true;
  const std::string path = file_.Path();
  std::string content = log_frame::Encode(kFirstSequence, records);
  content += log_frame::Encode(kFirstSequence + 1, {});
  BOOST_LEAF_CHECK(ReplaceFile(path, content));
  BOOST_LEAF_AUTO(file, storage_file::Open(path, O_RDWR));
  file_ = std::move(file);
  size_ = content.size();
  sequence_ = kFirstSequence + 2;
  marker_due_ = false;
  needs_rewrite_ = false;
  return {};
}

}  // namespace almond
