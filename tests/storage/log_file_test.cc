#include "libalmond/storage/log_file.h"

#include <fcntl.h>

#include <boost/leaf.hpp>
#include <catch2/catch.hpp>

#include "libalmond/storage/checksummed_file.h"
#include "libalmond/storage/log_frame.h"
#include "storage/storage_error_text.h"
#include "storage/temporary_folder.h"

namespace almond {
namespace {

namespace leaf = boost::leaf;
using records = std::vector<std::string>;

class log_file_fixture {
 protected:
  log_file_fixture() {
    const std::string error = ErrorText([&]() -> leaf::result<void> {
      BOOST_LEAF_CHECK(log_file::Create(path_));
      BOOST_LEAF_AUTO(log, log_file::Open(path_));
      for (const records& batch : kBatches) {
        BOOST_LEAF_CHECK(log.file.Append(batch));
      }
      return {};
    });
    REQUIRE(error.empty());
    bytes_ = temporary_folder::Read(path_);
  }

  /// Replaces the content and opens the file.
  /// @param found set to the records read
  /// @returns the error, or an empty string
  std::string Reopen(const std::string& content, records& found) {
    temporary_folder::Write(path_, content);
    return ErrorText([&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(log, log_file::Open(path_));
      found = log.records;
      return {};
    });
  }

  static records FirstBatches(std::size_t count) {
    records result;
    for (std::size_t i = 0; i < count; ++i) {
      result.insert(result.end(), kBatches[i].begin(), kBatches[i].end());
    }
    return result;
  }
  static bool IsPrefixOfBatches(const records& found) {
    for (std::size_t i = 0; i <= kBatches.size(); ++i) {
      if (found == FirstBatches(i)) return true;
    }
    return false;
  }

  static inline const std::vector<records> kBatches = {
      {"vote"}, {"first", "second"}, {std::string(300, 'x'), ""}, {"last"}};
  temporary_folder folder_;
  const std::string path_ = folder_.File("log");
  std::string bytes_;
};

// Guards against a synced record that is lost or altered by a damaged byte
// without an error.
TEST_CASE_METHOD(log_file_fixture,
                 "log file / any byte damaged / error or all records") {
  std::size_t errors = 0;
  for (std::size_t offset = 0; offset < bytes_.size(); ++offset) {
    for (const unsigned mask : {0x01U, 0x80U, 0xFFU}) {
      std::string damaged = bytes_;
      damaged[offset] =
          static_cast<char>(static_cast<unsigned char>(damaged[offset]) ^ mask);
      records found;
      const std::string error = Reopen(damaged, found);
      INFO("byte " << offset << " mask " << mask << " error " << error);
      if (error.empty()) {
        CHECK(found == FirstBatches(kBatches.size()));
      } else {
        ++errors;
        CHECK(error.find(path_ + " at byte ") == 0);
      }
    }
  }
  CHECK(errors > bytes_.size());
}

// Guards against a crash during a write that leaves the file unusable.
TEST_CASE_METHOD(log_file_fixture,
                 "log file / truncated anywhere / complete batches remain") {
  for (std::size_t size = 0; size <= bytes_.size(); ++size) {
    records found;
    INFO("truncated to " << size);
    CHECK(Reopen(bytes_.substr(0, size), found).empty());
    CHECK(IsPrefixOfBatches(found));
  }
}

// Guards against a log that is refused because the marker before an incomplete
// write, which no sync had covered, was lost together with part of it.
TEST_CASE_METHOD(log_file_fixture,
                 "log file / power lost in a sync / synced batches remain") {
  const std::uint64_t marker_sequence = 2 * kBatches.size();
  const std::string last_marker = log_frame::Encode(marker_sequence, {});
  const std::string synced =
      bytes_.substr(0, bytes_.size() - last_marker.size());
  const std::string unsynced = log_frame::Encode(
      marker_sequence + 1, {"unsynced", std::string(90, 'y')});
  // What is on the disk: all, nothing, or a part followed by zeros.
  const auto lost = [](std::string text, std::size_t kept) {
    std::fill(text.begin() + static_cast<std::ptrdiff_t>(kept), text.end(),
              '\0');
    return text;
  };
  const std::size_t kept_of_marker = GENERATE(0, 11, 24);
  const std::size_t kept_of_frame = GENERATE(0, 30, 60, 1000);
  const std::string marker = lost(last_marker, kept_of_marker);
  const std::string frame =
      lost(unsynced, std::min(kept_of_frame, unsynced.size()));
  records found;
  CHECK(Reopen(synced + marker + frame, found) == "");
  records expected = FirstBatches(kBatches.size());
  if (marker == last_marker && frame == unsynced) {
    expected.insert(expected.end(), {"unsynced", std::string(90, 'y')});
  }
  CHECK(found == expected);
  const std::string error = ErrorText([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(log, log_file::Open(path_));
    return log.file.Append({"after"});
  });
  CHECK(error == "");
  expected.emplace_back("after");
  CHECK(Reopen(temporary_folder::Read(path_), found) == "");
  CHECK(found == expected);
}

// Guards against a batch that cannot be proven to have been synced after an
// incomplete write was dropped, so that its damage goes unnoticed.
TEST_CASE_METHOD(log_file_fixture,
                 "log file / appended to after a lost marker / damage of "
                 "synced batches is an error") {
  const std::size_t marker_size = log_frame::kHeaderBytes;
  temporary_folder::Write(path_, bytes_.substr(0, bytes_.size() - marker_size));
  const std::string error = ErrorText([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(log, log_file::Open(path_));
    return log.file.Append({"after"});
  });
  REQUIRE(error == "");
  std::string damaged = temporary_folder::Read(path_);
  damaged[bytes_.size() - marker_size - 1] ^= 1;
  records found;
  CHECK(Reopen(damaged, found) != "");
}

// Guards against records that are appended after an incomplete write and cannot
// be read back.
TEST_CASE_METHOD(log_file_fixture,
                 "log file / incomplete write / truncated and appended to") {
  const std::string tail =
      GENERATE(std::string("\0\0\0\0", 4), std::string(5000, '\xFF'),
               std::string("ALMG\5\0\0\0", 8));
  temporary_folder::Write(path_, bytes_ + tail);
  const std::string error = ErrorText([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(log, log_file::Open(path_));
    CHECK(log.truncated_bytes == tail.size());
    return log.file.Append({"after"});
  });
  CHECK(error.empty());
  records found;
  CHECK(Reopen(temporary_folder::Read(path_), found).empty());
  records expected = FirstBatches(kBatches.size());
  expected.emplace_back("after");
  CHECK(found == expected);
}

// Guards against a rewrite that loses the new records or later appends.
TEST_CASE_METHOD(log_file_fixture,
                 "log file / rewritten / holds new and appended records") {
  const std::string error = ErrorText([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(log, log_file::Open(path_));
    BOOST_LEAF_CHECK(log.file.Rewrite({"base", "tail"}));
    return log.file.Append({"next"});
  });
  CHECK(error.empty());
  records found;
  CHECK(Reopen(temporary_folder::Read(path_), found).empty());
  CHECK(found == records{"base", "tail", "next"});
}

// Guards against a write to a full disk that is reported as successful.
TEST_CASE_METHOD(log_file_fixture,
                 "storage file / disk full / error names the file") {
  const std::string error = ErrorText([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(file, storage_file::Open("/dev/full", O_WRONLY));
    return file.Write(0, "content");
  });
  CHECK(error.find("/dev/full at byte 0: cannot write") == 0);
}

// Guards against a damaged snapshot that is read without an error.
TEST_CASE_METHOD(log_file_fixture,
                 "checksummed file / damaged or truncated anywhere / error") {
  const std::string path = folder_.File("snapshot");
  const std::string content = "state" + std::string(50, '\0');
  std::optional<std::string> found;
  const auto read = [&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(found, checksummed_file::Read(path));
    return {};
  };
  CHECK(ErrorText(read).empty());
  CHECK_FALSE(found.has_value());
  CHECK(ErrorText([&] {
          return checksummed_file::Write(path, content);
        }).empty());
  CHECK(ErrorText(read).empty());
  CHECK(found == content);
  const std::string bytes = temporary_folder::Read(path);
  for (std::size_t offset = 0; offset < bytes.size(); ++offset) {
    std::string damaged = bytes;
    damaged[offset] = static_cast<char>(damaged[offset] ^ 0x10);
    temporary_folder::Write(path, damaged);
    CHECK(ErrorText(read).find(path + " at byte 0: ") == 0);
    temporary_folder::Write(path, bytes.substr(0, offset));
    CHECK(ErrorText(read).find(path + " at byte 0: ") == 0);
  }
}

}  // namespace
}  // namespace almond
