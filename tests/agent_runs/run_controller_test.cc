#include "libalmond/controllers/agent/run_controller.h"

#include <catch2/catch.hpp>

#include "agent_runs/fake_endpoint.h"

namespace almond {
namespace {

const link_id kEntry(1);
const link_id kOtherEntry(2);
constexpr std::uint64_t kFirstFence = 1000;

class run_controller_fixture {
 protected:
  run_controller_fixture()
      : log_(clock_, metrics_, "agent",
             [this](const char* bytes, std::size_t size) {
               lines_ += std::string(bytes, size);
               return size;
             }),
        controller_(clock_, log_, metrics_, kFirstFence, Hooks()) {
    controller_.OnAnnouncement(Announcement());
    endpoint_.AnswerRenewal();
  }

  run_controller::hooks Hooks() {
    run_controller::hooks hooks;
    endpoint_.AddHooks(hooks);
    hooks.on_end = [this](link_id link, const run_end& end) {
      ends_.emplace_back(link, end);
    };
    return hooks;
  }
  leased_endpoint Announcement(std::uint64_t incarnation = 1) {
    leased_endpoint announced;
    announced.id = endpoint_id("e");
    announced.service = service_id("s");
    announced.address = "127.0.0.1:1";
    announced.incarnation = incarnation;
    announced.sequence = ++number_;
    announced.total = {4000, 1000, 0};
    return announced;
  }
  run_start Order(std::uint32_t index, std::int64_t cpu_milli = 1000) {
    run_start start;
    start.endpoint = endpoint_id("e");
    start.key = {job_id("j"), 0, 0, index, 1};
    start.service = service_id("s");
    start.needed = {cpu_milli, 10, 0};
    start.newest_timestamp = controller_.State().timestamp;
    return start;
  }
  /// Lets time pass in ticks, with or without answers to renewals.
  void Pass(duration time, bool answer = true) {
    for (duration passed{}; passed < time;
         passed += run_controller::kTickPeriod) {
      clock_.Advance(run_controller::kTickPeriod);
      if (answer && !endpoint_.renewals.empty()) endpoint_.AnswerRenewal();
      controller_.Tick();
    }
  }
  std::int64_t UnusedCpu() const {
    return controller_.State().unused.cpu_milli;
  }

  manual_clock clock_;
  metrics_registry metrics_;
  std::string lines_;
  decision_log log_;
  fake_endpoint endpoint_;
  std::vector<std::pair<link_id, run_end>> ends_;
  std::uint64_t number_ = 0;
  run_controller controller_;
};

// Guards against starts over the room of an endpoint that takes what it gets.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / no room left / waits, then refused as not "
                 "run") {
  controller_.Start(kEntry, Order(0, 3000));
  controller_.Start(kOtherEntry, Order(1, 2000));
  CHECK(endpoint_.starts.size() == 1);
  CHECK(UnusedCpu() == -1000);
  Pass(run_controller::kMaxWait - run_controller::kTickPeriod);
  CHECK(ends_.empty());
  Pass(run_controller::kTickPeriod);
  CHECK(endpoint_.starts.size() == 1);
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].first == kOtherEntry);
  CHECK(ends_[0].second.kind == run_end_kind::not_run);
  CHECK(UnusedCpu() == 1000);
}

// The load: all entries have more work than there is room for; an idle gap of
// a round trip at each end would cost a tenth of it.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / order waits and room becomes free / started "
                 "at once, the most urgent first") {
  controller_.Start(kEntry, Order(0, 4000));
  endpoint_.TakeStart();
  run_start later = Order(1, 200);
  later.slack = milliseconds(500);
  run_start urgent = Order(2, 200);
  urgent.slack = milliseconds(100);
  controller_.Start(kEntry, later);
  controller_.Start(kOtherEntry, urgent);
  CHECK(endpoint_.starts.empty());
  endpoint_.EndRun(Order(0).key, run_end_kind::done);
  endpoint_.AnswerRenewal();
  INFO(lines_);
  REQUIRE(endpoint_.starts.size() == 2);
  CHECK(endpoint_.starts[0].start.key == urgent.key);
}

// The load: queues at all entries. What waits is bound to this endpoint while
// its objective passes.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / as many orders wait as may / next refused") {
  controller_.Start(kEntry, Order(0, 4000));
  controller_.Start(kEntry, Order(1, 400));
  controller_.Start(kOtherEntry, Order(2, 400));
  CHECK(controller_.State().waiting == run_controller::kMaxWaiting);
  controller_.Start(kEntry, Order(3, 400));
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.key == Order(3).key);
  CHECK(ends_[0].second.kind == run_end_kind::not_run);
}

// The load: queues at all entries, work of several priorities mixed.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / order of a higher priority / passes those "
                 "that wait, the last goes back") {
  controller_.Start(kEntry, Order(0, 4000));
  run_start low = Order(1, 400);
  low.priority = 2;
  run_start middle = Order(2, 400);
  middle.priority = 1;
  controller_.Start(kEntry, low);
  controller_.Start(kOtherEntry, middle);
  CHECK(controller_.State().waiting_priority == 2);
  controller_.Start(kOtherEntry, Order(3, 400));
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.key == low.key);
  CHECK(ends_[0].second.kind == run_end_kind::not_run);
  CHECK(controller_.State().waiting_priority == 1);
}

// Guards against a withdrawal that crosses the start and ends the run.
TEST_CASE_METHOD(
    run_controller_fixture,
    "run controller / withdrawn / only a waiting order goes back") {
  controller_.Start(kEntry, Order(0, 4000));
  controller_.Start(kOtherEntry, Order(1, 400));
  controller_.Withdraw(kEntry, Order(0).key);
  CHECK(ends_.empty());
  CHECK(endpoint_.stops.empty());
  controller_.Withdraw(kOtherEntry, Order(1).key);
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::not_run);
  CHECK(UnusedCpu() == 0);
}

TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / entry of a waiting order is gone / never "
                 "started") {
  controller_.Start(kEntry, Order(0, 4000));
  endpoint_.TakeStart();
  controller_.Start(kOtherEntry, Order(1, 400));
  controller_.OnLinkClosed(kOtherEntry);
  endpoint_.EndRun(Order(0).key, run_end_kind::done);
  endpoint_.AnswerRenewal();
  CHECK(endpoint_.starts.empty());
  CHECK(UnusedCpu() == 4000);
}

TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / end listed / room free and entry told") {
  controller_.Start(kEntry, Order(0, 3000));
  endpoint_.TakeStart();
  clock_.Advance(milliseconds(50));
  endpoint_.EndRun(Order(0).key, run_end_kind::done);
  endpoint_.AnswerRenewal();
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::done);
  CHECK(ends_[0].second.ran == milliseconds(50));
  CHECK(UnusedCpu() == 4000);
  CHECK(endpoint_.renewals.back().renewal.acknowledged == 1);
}

// Guards against two runs of a task: an order without an answer may be carried
// out seconds later.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / start unanswered / room kept until the run "
                 "can never begin") {
  controller_.Start(kEntry, Order(0, 3000));
  endpoint_.starts.front().reply(start_reply::unanswered);
  REQUIRE(endpoint_.stops.size() == 1);
  CHECK(ends_.empty());
  CHECK(UnusedCpu() == 1000);
  SECTION("stop unanswered, so it is sent again") {
    endpoint_.TakeStop(false);
    Pass(run_controller::kStopRetry);
    REQUIRE(endpoint_.stops.size() == 1);
    CHECK(ends_.empty());
  }
  SECTION("stop acknowledged, lists from before do not count") {
    endpoint_.TakeStop();
    endpoint_.AnswerRenewal();
    CHECK(ends_.empty());
    clock_.Advance(milliseconds(1));
    endpoint_.LoseRenewal();
    controller_.Tick();
    endpoint_.AnswerRenewal();
    REQUIRE(ends_.size() == 1);
    CHECK(ends_[0].second.kind == run_end_kind::stopped);
    CHECK(UnusedCpu() == 4000);
  }
  SECTION("carried out after all, so its end is awaited") {
    endpoint_.running.insert(Order(0).key);
    endpoint_.AnswerRenewal();
    CHECK(ends_.empty());
    endpoint_.TakeStop();
    endpoint_.AnswerRenewal();
    REQUIRE(ends_.size() == 1);
    CHECK(ends_[0].second.kind == run_end_kind::stopped);
  }
}

// Guards against two runs of a job that its caller has sent again elsewhere.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / entry's link ends / only its runs stopped") {
  controller_.Start(kEntry, Order(0));
  controller_.Start(kOtherEntry, Order(1));
  endpoint_.TakeStart();
  endpoint_.TakeStart();
  controller_.OnLinkClosed(kEntry);
  REQUIRE(endpoint_.stops.size() == 1);
  CHECK(endpoint_.stops.front().key == Order(0).key);
}

// Guards against an agent that wakes up and carries out orders that their
// entry has long placed elsewhere.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / order older than the limit / refused") {
  const run_start old = Order(0);
  Pass(run_controller::kMaxOrderAge + milliseconds(20));
  controller_.Start(kEntry, old);
  CHECK(endpoint_.starts.empty());
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::not_run);
}

TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / endpoint draining / starts refused") {
  leased_endpoint draining = Announcement();
  draining.leaving = true;
  controller_.OnAnnouncement(draining);
  controller_.Start(kEntry, Order(0));
  CHECK(endpoint_.starts.empty());
  CHECK_FALSE(controller_.State().accepting);
}

// Guards against a late announcement of a life that has ended.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / announcement of an older life / ignored") {
  controller_.OnAnnouncement(Announcement(3));
  endpoint_.incarnation = 3;
  endpoint_.AnswerRenewal();
  endpoint_.AnswerRenewal();
  controller_.Start(kEntry, Order(0));
  leased_endpoint older = Announcement(2);
  older.leaving = true;
  controller_.OnAnnouncement(older);
  CHECK(controller_.State().accepting);
  CHECK(ends_.empty());
}

TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / new life / runs lost at once") {
  controller_.Start(kEntry, Order(0));
  endpoint_.TakeStart();
  controller_.OnAnnouncement(Announcement(2));
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::lost);
  CHECK_FALSE(controller_.State().accepting);
}

// The load: endpoints that take tasks and do not work on them.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / run without progress / stopped, room free "
                 "when the end is listed") {
  run_start start = Order(0);
  start.estimate = milliseconds(100);
  controller_.Start(kEntry, start);
  endpoint_.TakeStart();
  endpoint_.percent = 7;
  Pass(run_progress::kMinStandstill + 3 * run_controller::kTickPeriod);
  REQUIRE(endpoint_.stops.size() == 1);
  endpoint_.TakeStop();
  endpoint_.AnswerRenewal();
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::stopped);
  CHECK(UnusedCpu() == 4000);
  CHECK(lines_.find("run_stalled") != std::string::npos);
}

// Guards against stops for slow runs, and for lists that do not arrive.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / slow run or no list / goes on") {
  run_start start = Order(0);
  start.estimate = milliseconds(100);
  controller_.Start(kEntry, start);
  endpoint_.TakeStart();
  SECTION("a percent in each tenth of a second") {
    for (std::uint32_t done = 0; done < 20; ++done) {
      endpoint_.percent = done;
      Pass(milliseconds(100));
    }
  }
  SECTION("no list") {
    endpoint_.percent = 7;
    Pass(milliseconds(40));
    Pass(milliseconds(300), false);
  }
  SECTION("an endpoint that tells no progress") { Pass(milliseconds(2000)); }
  CHECK(endpoint_.stops.empty());
}

// Guards against room given out twice while a silent endpoint still works.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / silence / lease not extended and runs lost "
                 "only after it") {
  controller_.Start(kEntry, Order(0));
  endpoint_.TakeStart();
  Pass(milliseconds(700), false);
  CHECK(ends_.empty());
  CHECK_FALSE(controller_.State().accepting);
  Pass(milliseconds(100), false);
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::lost);
  const std::uint64_t fence = kFirstFence + 1;
  endpoint_.LoseRenewal();
  controller_.Tick();
  CHECK(endpoint_.renewals.back().renewal.fence == fence);
}

TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / token refused / raised before any start") {
  endpoint_.RefuseRenewalAsFenced();
  controller_.Start(kEntry, Order(0));
  CHECK(endpoint_.starts.empty());
  controller_.Tick();
  CHECK(endpoint_.renewals.back().renewal.fence ==
        kFirstFence + run_controller::kFenceStep);
  endpoint_.AnswerRenewal();
  controller_.Start(kEntry, Order(1));
  CHECK(endpoint_.starts.size() == 1);
}

// Guards against room given out while runs of an earlier agent go on.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / runs of an earlier life listed / stopped "
                 "before any start") {
  const run_key foreign{job_id("k"), 0, 0, 7, 3};
  endpoint_.running.insert(foreign);
  endpoint_.AnswerRenewal();
  CHECK_FALSE(controller_.State().accepting);
  REQUIRE(endpoint_.stops.size() == 1);
  CHECK(endpoint_.stops.front().key == foreign);
  endpoint_.TakeStop();
  endpoint_.AnswerRenewal();
  endpoint_.AnswerRenewal();
  CHECK(controller_.State().accepting);
}

TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / stop of an unknown run / answered") {
  controller_.Stop(kEntry, Order(5).key);
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::stopped);
}

}  // namespace
}  // namespace almond
