#include "libalmond/controllers/entry/run_queue.h"

#include <catch2/catch.hpp>
#include <string>

namespace almond {
namespace {

class run_queue_fixture {
 protected:
  void Add(const std::string& name, int latest_start,
           bool job_started = false) {
    queue_.Add({job_id(name), 0, 0}, {At(latest_start), 0, job_started});
  }
  static steady_time At(int time) { return steady_time(milliseconds(time)); }
  /// @returns the job names in the order in which they are offered
  std::string Order(int now) {
    std::string order;
    queue_.OfferInOrder(At(now), [&order](const waiting_task& task) {
      order += task.job.Value();
      return false;
    });
    return order;
  }

  run_queue queue_;
};

// Guards against a short request that waits behind long work.
TEST_CASE_METHOD(run_queue_fixture,
                 "run queue / short after long / short first") {
  Add("l", 800);
  Add("s", 60);
  CHECK(Order(0) == "sl");
}

// Guards against tasks that have already missed their objective making others
// miss theirs, while there is more work than capacity.
TEST_CASE_METHOD(
    run_queue_fixture,
    "run queue / objective out of reach / after tasks that can meet theirs") {
  Add("a", 50);
  Add("b", 150);
  CHECK(Order(100) == "ba");
}

// With more work than capacity in wide jobs, the resources of a started job are
// of no use until its last task has run, so newer jobs must not starve it. Late
// jobs that have not started must not delay the others.
TEST_CASE_METHOD(
    run_queue_fixture,
    "run queue / job started / before all others, also when late") {
  Add("f", 40);
  Add("b", 50, true);
  Add("t", 150);
  Add("u", 140, true);
  CHECK(Order(100) == "butf");
}

// Guards against ignoring the route's priority while all tasks are in time.
TEST_CASE_METHOD(run_queue_fixture,
                 "run queue / lower priority / counts as due later") {
  queue_.Add({job_id("l"), 0, 0}, {At(100), 2, false});
  Add("h", 150);
  CHECK(Order(0) == "hl");
}

TEST_CASE_METHOD(run_queue_fixture,
                 "run queue / task taken / no longer offered") {
  Add("a", 50);
  Add("b", 60);
  queue_.OfferInOrder(
      At(0), [](const waiting_task& task) { return task.job == job_id("a"); });
  CHECK(Order(0) == "b");
  queue_.Remove({job_id("b"), 0, 0}, {At(60), 0, false});
  CHECK(queue_.size() == 0);
}

}  // namespace
}  // namespace almond
