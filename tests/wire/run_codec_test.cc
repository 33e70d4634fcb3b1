#include "libalmond/wire/run_codec.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

const run_key kKey{job_id("5c0e7a21d94b36f8"), 1, 2, 3, 4};

// Guards against a field that is dropped or altered between entry and agent.
TEST_CASE("run codec / start and end / fields round trip") {
  run_start start;
  start.endpoint = endpoint_id("e");
  start.key = kKey;
  start.service = service_id("s");
  start.spec = std::string("a\0b", 3);
  start.needed = {1, 2, 3};
  start.newest_timestamp = agent_timestamp(5);
  start.order = 6;
  const auto decoded = DecodeEntryRunMessage(EncodeEntryRunMessage(start));
  REQUIRE(decoded);
  const auto& copy = std::get<run_start>(*decoded);
  CHECK(copy.key == kKey);
  CHECK(copy.spec == start.spec);
  CHECK(copy.needed == start.needed);
  CHECK(copy.newest_timestamp == start.newest_timestamp);
  CHECK(copy.order == 6);

  const run_end end{endpoint_id("e"), kKey, run_end_kind::lost,
                    milliseconds(7)};
  const auto ended = DecodeAgentRunMessage(EncodeAgentRunMessage(end));
  REQUIRE(ended);
  CHECK(std::get<run_end>(*ended).kind == run_end_kind::lost);
  CHECK(std::get<run_end>(*ended).ran == milliseconds(7));
}

// Guards against a malformed frame that is decoded as a stop request.
TEST_CASE("run codec / malformed frame or wrong direction / is rejected") {
  frame stop = EncodeEntryRunMessage(run_stop{endpoint_id("e"), kKey});
  CHECK(DecodeEntryRunMessage(stop));
  CHECK_FALSE(DecodeAgentRunMessage(stop));
  stop.payload.pop_back();
  CHECK_FALSE(DecodeEntryRunMessage(stop));
  CHECK_FALSE(DecodeEntryRunMessage({1, stop.payload}));
}

}  // namespace
}  // namespace almond
