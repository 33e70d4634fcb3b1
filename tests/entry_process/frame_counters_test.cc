#include "libalmond/processes/frame_counters.h"

#include <catch2/catch.hpp>

#include "libalmond/wire/run_codec.h"

namespace almond {
namespace {

class frame_counters_fixture {
 protected:
  std::uint64_t Value(const std::string& name, const std::string& direction,
                      const std::string& type) {
    return metrics_
        .Counter(name, "direction=\"" + direction + "\",type=\"" + type + "\"")
        .Value();
  }

  metrics_registry metrics_;
  frame_counters sent_{metrics_, "out"};
  frame_counters received_{metrics_, "in"};
};

// Guards against messages that operators cannot tell apart.
TEST_CASE_METHOD(frame_counters_fixture,
                 "frame counters / frames of two types / counted by direction "
                 "and type") {
  const frame state = EncodeAgentRunMessage(endpoint_state{});
  const frame end = EncodeAgentRunMessage(run_end{});
  sent_.Add(state);
  sent_.Add(state);
  sent_.Add(end);
  received_.Add(end);
  CHECK(Value("almond_link_frames_total", "out", "endpoint_state") == 2);
  CHECK(Value("almond_link_bytes_total", "out", "endpoint_state") ==
        2 * state.payload.size());
  CHECK(Value("almond_link_frames_total", "out", "run_end") == 1);
  CHECK(Value("almond_link_frames_total", "in", "run_end") == 1);
}

// Guards against a peer that adds a metric for each number it sends.
TEST_CASE_METHOD(frame_counters_fixture,
                 "frame counters / unknown types / one name") {
  received_.Add({99, "abc"});
  received_.Add({98, "abc"});
  CHECK(Value("almond_link_frames_total", "in", "unknown") == 2);
  CHECK(Value("almond_link_bytes_total", "in", "unknown") == 6);
}

}  // namespace
}  // namespace almond
