#include "libalmond/storage/checksummed_file.h"

#include <fcntl.h>

#include <boost/leaf.hpp>
#include <filesystem>

#include "libalmond/storage/log_frame.h"
#include "libalmond/storage/storage_file.h"

namespace almond {
namespace {

namespace leaf = boost::leaf;

constexpr std::uint64_t kSequence = 1;

}  // namespace

leaf::result<void> checksummed_file::Write(const std::string& path,
                                           std::string_view content) {
  return ReplaceFile(path,
                     log_frame::Encode(kSequence, {std::string(content)}));
}

leaf::result<std::optional<std::string>> checksummed_file::Read(
    const std::string& path) {
  if (!std::filesystem::exists(path)) return std::optional<std::string>();
  BOOST_LEAF_AUTO(file, storage_file::Open(path, O_RDONLY));
  BOOST_LEAF_AUTO(bytes, file.ReadAll());
  const auto frame = log_frame::Decode(bytes, 0);
  std::vector<std::string> records;
  if (!frame || frame->sequence != kSequence ||
      !frame->AppendRecordsTo(records) || records.size() != 1 ||
      bytes.size() != log_frame::kHeaderBytes + frame->payload.size()) {
    return leaf::new_error(storage_error{
        path, 0,
        "the content does not match its checksum; restore the file or empty "
        "the data folder so that the replica rejoins as a new member"});
  }
  return std::optional<std::string>(std::move(records.front()));
}

}  // namespace almond
