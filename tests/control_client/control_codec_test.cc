#include "libalmond/wire/control_codec.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

class control_codec_fixture {
 protected:
  static ledger_record Record() {
    ledger_record record;
    record.submission = Id();
    record.digest = std::string("\x00\xFF", 2);
    record.service = service_id("geurmatch");
    record.task_count = 40;
    record.owner = entry_id("e1");
    record.owner_incarnation = incarnation_id(7);
    record.epoch = owner_epoch(2);
    record.state = ledger_state::failed;
    record.failure = {refusal_reason::owner_lost, run_outcome::unknown, "gone"};
    record.accepted = wall_time(milliseconds(1700000000123));
    record.deadline = wall_time(milliseconds(1700000005123));
    return record;
  }
  static uuid Id() {
    return *uuid::Parse("01900000-0000-7000-8000-000000000001");
  }
  static std::vector<control_request> Requests() {
    const ledger_record r = Record();
    return {
        heartbeat_message{process_role::agent, "a1", incarnation_id(3),
                          data_centre_id("nl-west-1"), "127.0.0.1:1",
                          "127.0.0.1:2", config_version(9), true, 77, "s 1"},
        fetch_config_message{},
        ledger_claim_message{r.submission, r.digest, r.service, r.task_count,
                             r.owner, r.owner_incarnation, r.deadline},
        ledger_finish_message{r.submission, r.epoch, r.state, r.failure},
        ledger_read_message{r.submission}};
  }
  static std::vector<control_reply> Replies() {
    return {
        heartbeat_reply_message{config_version(9),
                                {{entry_id("e1"), incarnation_id(7),
                                  data_centre_id("nl-west-1"), "127.0.0.1:1"}},
                                {Record()},
                                ~std::uint64_t{0},
                                false,
                                240},
        fetch_config_reply_message{config_version(9), "document"},
        ledger_claim_reply_message{claim_outcome::exists, Record()},
        ledger_finish_reply_message{true},
        ledger_read_reply_message{Record()},
        ledger_read_reply_message{},
        not_leader_message{"127.0.0.1:1"}};
  }
};

// Guards against a field that is lost or altered by encoding and decoding.
TEST_CASE_METHOD(control_codec_fixture,
                 "control codec / fields / round trip with the number") {
  const auto claim = DecodeControlReply(EncodeControlReply(
      5, ledger_claim_reply_message{claim_outcome::exists, Record()}));
  REQUIRE(claim.has_value());
  CHECK(claim->number == 5);
  CHECK(std::get<ledger_claim_reply_message>(claim->body).record == Record());
  const auto beat =
      DecodeControlRequest(EncodeControlRequest(6, Requests()[0]));
  const auto& copy = std::get<heartbeat_message>(beat.value().body);
  CHECK(copy.role == process_role::agent);
  CHECK(copy.id == "a1");
  CHECK(copy.incarnation == incarnation_id(3));
  CHECK(copy.data_centre == data_centre_id("nl-west-1"));
  CHECK(copy.peer_address == "127.0.0.1:1");
  CHECK(copy.http_address == "127.0.0.1:2");
  CHECK(copy.version == config_version(9));
  CHECK(copy.leaving);
  CHECK(copy.entries_digest == 77);
  CHECK(copy.endpoint_kind == "s 1");
  const auto decoded = DecodeControlReply(EncodeControlReply(6, Replies()[0]));
  const auto& reply = std::get<heartbeat_reply_message>(decoded.value().body);
  CHECK(reply.entries.size() == 1);
  CHECK(reply.entries_digest == ~std::uint64_t{0});
  CHECK_FALSE(reply.entries_omitted);
  CHECK(reply.alike_agents == 240);
}

// Guards against a message type that does not survive a round trip, and against
// truncated, extended or unknown frames that are decoded.
TEST_CASE_METHOD(control_codec_fixture,
                 "control codec / any message / round trip or rejected") {
  const auto check = [](const frame& encoded, const auto& decode,
                        const auto& encode, const auto& decode_other) {
    const auto decoded = decode(encoded);
    REQUIRE(decoded.has_value());
    const frame again = encode(decoded->number, decoded->body);
    CHECK(again.type == encoded.type);
    CHECK(again.payload == encoded.payload);
    CHECK_FALSE(decode_other(encoded).has_value());
    CHECK_FALSE(decode({99, encoded.payload}).has_value());
    CHECK_FALSE(decode({encoded.type, encoded.payload + "x"}).has_value());
    for (std::size_t size = 0; size < encoded.payload.size(); ++size) {
      const frame part{encoded.type, encoded.payload.substr(0, size)};
      REQUIRE_FALSE(decode(part).has_value());
    }
  };
  for (const control_request& request : Requests()) {
    check(EncodeControlRequest(8, request), DecodeControlRequest,
          EncodeControlRequest, DecodeControlReply);
  }
  for (const control_reply& reply : Replies()) {
    check(EncodeControlReply(8, reply), DecodeControlReply, EncodeControlReply,
          DecodeControlRequest);
  }
}

TEST_CASE("control codec / evacuations / round trip, unordered ones rejected") {
  heartbeat_reply_message reply;
  reply.evacuations = {evacuation_revision(4),
                       {data_centre_id("a"), data_centre_id("b")}};
  const auto decoded = DecodeControlReply(EncodeControlReply(1, reply));
  REQUIRE(decoded);
  CHECK(std::get<heartbeat_reply_message>(decoded->body).evacuations ==
        reply.evacuations);
  std::swap(reply.evacuations.data_centres[0],
            reply.evacuations.data_centres[1]);
  CHECK_FALSE(DecodeControlReply(EncodeControlReply(1, reply)));
}

}  // namespace
}  // namespace almond
