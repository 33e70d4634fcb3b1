#include "libalmond/wire/replication_codec.h"

#include <catch2/catch.hpp>

#include "libalmond/wire/replication_records.h"

namespace almond {
namespace {

class replication_codec_fixture {
 protected:
  static membership Members() {
    membership members = membership::Bootstrap(
        {replica_id("a"), replica_id("b"), replica_id("c")}, 3);
    members.Replace(replica_id("b"), replica_incarnation(0xFFFFFFFFFFFFFFF1));
    members.Add(replica_id("d"), replica_incarnation(10));
    return members;
  }
  static std::vector<log_entry> Entries() {
    return {
        {3, log_entry_kind::no_op, "", {}, {}},
        {3, log_entry_kind::command, std::string("\0\xFF", 2), {}, {}},
        {4, log_entry_kind::admit, "", replica_id("b"), replica_incarnation(9)},
        {4, log_entry_kind::add, "", replica_id("d"), replica_incarnation(10)}};
  }
  static std::vector<replica_message> Messages() {
    const replica_message base{replica_id("a"), replica_incarnation(5),
                               replica_id("b"), 7, vote_request()};
    std::vector<replica_message> result(6, base);
    result[0].body = vote_request{true, 11, 6, replica_incarnation(12)};
    result[1].body = vote_reply{true, true};
    result[2].body = append_request{1, 2, 3, 4, Entries()};
    result[3].body = append_reply{8, true, 9};
    result[4].body = snapshot_chunk{1, 2, 3, Members(), 400, 100, "data"};
    result[5].body = snapshot_reply{1, 2, 3};
    return result;
  }
};

// Guards against a field that is dropped or altered between replicas.
TEST_CASE_METHOD(replication_codec_fixture,
                 "replication codec / every message / round trips") {
  for (const replica_message& message : Messages()) {
    const auto copy =
        DecodeReplicaMessage(EncodeReplicaMessage(message, "c1"), "c1");
    REQUIRE(copy.has_value());
    CHECK((*copy == message));
  }
}

// Guards against damaged frames, or frames of another cluster, that are
// accepted.
TEST_CASE_METHOD(
    replication_codec_fixture,
    "replication codec / truncated or foreign frame / is rejected") {
  for (const replica_message& message : Messages()) {
    frame encoded = EncodeReplicaMessage(message, "c1");
    CHECK_FALSE(DecodeReplicaMessage(encoded, "c2").has_value());
    const std::string payload = encoded.payload;
    for (std::size_t size = 0; size < payload.size(); ++size) {
      encoded.payload = payload.substr(0, size);
      CHECK_FALSE(DecodeReplicaMessage(encoded, "c1").has_value());
    }
  }
  CHECK_FALSE(DecodeReplicaMessage({1, "x"}, "c1").has_value());
}

// Guards against records that are read back differently after a restart.
TEST_CASE_METHOD(replication_codec_fixture,
                 "replication records / every kind / round trips") {
  const std::vector<log_record> records = {
      vote_record{5, replica_id("a"), replica_incarnation(3)}, vote_record{},
      log_entry_record{6, Entries()[1]}, log_entry_record{7, Entries()[2]},
      log_base_record{100, 4}};
  for (const log_record& record : records) {
    const auto copy = DecodeLogRecord(EncodeLogRecord(record));
    REQUIRE(copy.has_value());
    CHECK((*copy == record));
  }
  CHECK_FALSE(DecodeLogRecord("").has_value());
  CHECK_FALSE(DecodeLogRecord("zz").has_value());
  const replica_snapshot snapshot{9, 2, Members(), std::string(1000, '\0')};
  CHECK((DecodeSnapshot(EncodeSnapshot(snapshot)) == snapshot));
}

}  // namespace
}  // namespace almond
