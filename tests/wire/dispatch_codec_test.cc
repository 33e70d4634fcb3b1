#include "libalmond/wire/dispatch_codec.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

class dispatch_codec_fixture {
 protected:
  static task_name Name(std::uint32_t index) {
    return {*uuid::Parse("01900000-0000-7000-8000-000000000001"), index};
  }
  static start_message Start() {
    start_message start;
    start.grant = grant_id(7);
    start.name = Name(3);
    start.epoch = owner_epoch(2);
    start.kind = request_kind("bill");
    start.body = std::string("\x00\xFF body", 7);
    start.time_left = milliseconds(4999);
    start.size = {milliseconds(250), 500, 64};
    start.named_submission = true;
    start.backlog = 12;
    return start;
  }
};

// Guards against a field that is dropped or altered between entry and agent.
TEST_CASE_METHOD(dispatch_codec_fixture,
                 "dispatch codec / start / every field round trips") {
  const start_message start = Start();
  const auto decoded = DecodeEntryMessage(EncodeEntryMessage(start));
  REQUIRE(decoded.has_value());
  const auto& copy = std::get<start_message>(*decoded);
  CHECK(copy.grant == start.grant);
  CHECK(copy.name == start.name);
  CHECK(copy.epoch == start.epoch);
  CHECK(copy.kind == start.kind);
  CHECK(copy.body == start.body);
  CHECK(copy.time_left == start.time_left);
  CHECK(copy.size == start.size);
  CHECK(copy.named_submission);
  CHECK(copy.backlog == start.backlog);
}

// Guards against an answer that loses its next grant or body.
TEST_CASE_METHOD(dispatch_codec_fixture,
                 "dispatch codec / query answer / reports round trip") {
  query_answer_message message;
  message.query = 9;
  message.agent = agent_id("a1");
  message.incarnation = incarnation_id(5);
  task_report ended{Name(0), task_state::ended, {}};
  ended.answer.name = Name(0);
  ended.answer.outcome = start_outcome::done;
  ended.answer.status = 200;
  ended.answer.body = "box";
  ended.answer.next_grant = grant_id(4);
  message.tasks = {ended, {Name(1), task_state::fenced, {}}};
  const auto decoded = DecodeAgentMessage(EncodeAgentMessage(message));
  REQUIRE(decoded.has_value());
  const auto& copy = std::get<query_answer_message>(*decoded);
  REQUIRE(copy.tasks.size() == 2);
  CHECK(copy.tasks[0].answer.body == "box");
  CHECK(copy.tasks[0].answer.next_grant == grant_id(4));
  CHECK(copy.tasks[1].state == task_state::fenced);
}

// Guards against a crash or a wrong message for a malformed or unexpected
// frame.
TEST_CASE_METHOD(dispatch_codec_fixture,
                 "dispatch codec / malformed frame / is rejected") {
  frame encoded = EncodeEntryMessage(Start());
  SECTION("truncated at any byte") {
    for (std::size_t size = 0; size < encoded.payload.size(); ++size) {
      const frame part{encoded.type, encoded.payload.substr(0, size)};
      CHECK_FALSE(DecodeEntryMessage(part).has_value());
    }
  }
  SECTION("unknown type") {
    encoded.type = 99;
    CHECK_FALSE(DecodeEntryMessage(encoded).has_value());
  }
  SECTION("sent in the wrong direction") {
    CHECK_FALSE(DecodeAgentMessage(encoded).has_value());
  }
  SECTION("trailing bytes") {
    encoded.payload += "x";
    CHECK_FALSE(DecodeEntryMessage(encoded).has_value());
  }
}

}  // namespace
}  // namespace almond
