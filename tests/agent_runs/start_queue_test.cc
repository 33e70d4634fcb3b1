#include "libalmond/controllers/agent/start_queue.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

const link_id kEntry(1);
const link_id kOtherEntry(2);
constexpr resources kOneCore{1000, 1000, 0};

class start_queue_fixture {
 protected:
  static run_start MakeStart(const char* job, milliseconds slack,
                             std::uint32_t priority = 0) {
    run_start start;
    start.key = {job_id(job), 0, 0, 0, 1};
    start.needed = {1000, 10, 0};
    start.slack = slack;
    start.priority = priority;
    return start;
  }
  std::string Next(const resources& unused = kOneCore) {
    const auto next = queue_.TakeNext(unused);
    return next ? next->start.key.job.Value() : "";
  }

  manual_clock clock_;
  start_queue queue_{clock_};
};

TEST_CASE_METHOD(start_queue_fixture,
                 "start queue / two starts / earliest latest start first") {
  queue_.Add(kEntry, MakeStart("late", milliseconds(50)));
  queue_.Add(kEntry, MakeStart("soon", milliseconds(10)));
  CHECK(queue_.CpuMilli() == 2000);
  CHECK(Next() == "soon");
  CHECK(Next() == "late");
  CHECK(Next().empty());
}

// Guards against a start that can no longer meet its objective delaying one
// that can.
TEST_CASE_METHOD(start_queue_fixture,
                 "start queue / a latest start passes / comes last") {
  queue_.Add(kEntry, MakeStart("late", milliseconds(50)));
  queue_.Add(kEntry, MakeStart("missed", milliseconds(10)));
  clock_.Advance(milliseconds(11));
  CHECK(Next() == "late");
}

TEST_CASE_METHOD(start_queue_fixture,
                 "start queue / first start does not fit / none is taken") {
  queue_.Add(kEntry, MakeStart("soon", milliseconds(10)));
  run_start small = MakeStart("small", milliseconds(50));
  small.needed.cpu_milli = 100;
  queue_.Add(kEntry, small);
  CHECK(Next({500, 1000, 0}).empty());
  CHECK(queue_.Size() == 2);
}

TEST_CASE_METHOD(
    start_queue_fixture,
    "start queue / full, higher priority / lowest loses its place") {
  queue_.Add(kEntry, MakeStart("a", milliseconds(10), 1));
  queue_.Add(kEntry, MakeStart("b", milliseconds(20), 2));
  CHECK_FALSE(queue_.HasPlaceFor(MakeStart("c", milliseconds(5), 2)));
  const run_start urgent = MakeStart("d", milliseconds(30), 0);
  REQUIRE(queue_.HasPlaceFor(urgent));
  const auto lost = queue_.Add(kOtherEntry, urgent);
  REQUIRE(lost);
  CHECK(lost->start.key.job == job_id("b"));
  CHECK(queue_.LowestPriority() == 1);
  CHECK(Next() == "d");
}

TEST_CASE_METHOD(start_queue_fixture,
                 "start queue / link closed / only its starts are dropped") {
  queue_.Add(kEntry, MakeStart("a", milliseconds(10)));
  queue_.Add(kOtherEntry, MakeStart("b", milliseconds(20)));
  queue_.RemoveLink(kEntry);
  CHECK_FALSE(queue_.HasLink(kEntry));
  CHECK(Next() == "b");
}

TEST_CASE_METHOD(start_queue_fixture,
                 "start queue / removal for another link / start is kept") {
  const run_start start = MakeStart("a", milliseconds(10));
  queue_.Add(kEntry, start);
  CHECK_FALSE(queue_.Remove(start.key, kOtherEntry));
  CHECK(queue_.Contains(start.key));
  CHECK(queue_.Remove(start.key, kEntry));
  CHECK(queue_.Empty());
}

TEST_CASE_METHOD(start_queue_fixture,
                 "start queue / longest queue time over / start times out") {
  queue_.Add(kEntry, MakeStart("a", milliseconds(10)));
  clock_.Advance(start_queue::kMaxQueueTime - milliseconds(1));
  CHECK(queue_.TakeTimedOut().empty());
  clock_.Advance(milliseconds(1));
  CHECK(queue_.TakeTimedOut().size() == 1);
}

}  // namespace
}  // namespace almond
