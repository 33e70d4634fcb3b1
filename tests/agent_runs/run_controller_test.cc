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
      : log_(clock_, "agent",
             [this](const std::string& line) { lines_ += line + "\n"; }),
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
  run_start MakeStart(std::uint32_t index, std::int64_t cpu_milli = 1000) {
    run_start start;
    start.endpoint = endpoint_id("e");
    start.key = {job_id("j"), 0, 0, index, 1};
    start.service = service_id("s");
    start.needed = {cpu_milli, 10, 0};
    start.newest_timestamp = controller_.State().timestamp;
    return start;
  }
  /// Advances the clock in ticks, with or without answers to renewals.
  void AdvanceTime(duration time, bool answer = true) {
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

// Guards against starts that exceed the resources of an endpoint, which does
// not check them itself.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / no free resources / queued, then refused as "
                 "not run") {
  controller_.Start(kEntry, MakeStart(0, 3000));
  controller_.Start(kOtherEntry, MakeStart(1, 2000));
  CHECK(endpoint_.starts.size() == 1);
  CHECK(UnusedCpu() == -1000);
  AdvanceTime(start_queue::kMaxQueueTime - run_controller::kTickPeriod);
  CHECK(ends_.empty());
  AdvanceTime(run_controller::kTickPeriod);
  CHECK(endpoint_.starts.size() == 1);
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].first == kOtherEntry);
  CHECK(ends_[0].second.kind == run_end_kind::not_run);
  CHECK(UnusedCpu() == 1000);
}

// Guards against idle resources under overload: waiting a round trip for the
// next start after each run would waste a tenth of the capacity.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / starts queued and resources freed / started "
                 "at once, most urgent first") {
  controller_.Start(kEntry, MakeStart(0, 4000));
  endpoint_.ReplyToStart();
  run_start later = MakeStart(1, 200);
  later.slack = milliseconds(500);
  run_start urgent = MakeStart(2, 200);
  urgent.slack = milliseconds(100);
  controller_.Start(kEntry, later);
  controller_.Start(kOtherEntry, urgent);
  CHECK(endpoint_.starts.empty());
  endpoint_.EndRun(MakeStart(0).key, run_end_kind::done);
  endpoint_.AnswerRenewal();
  INFO(lines_);
  REQUIRE(endpoint_.starts.size() == 2);
  CHECK(endpoint_.starts[0].start.key == urgent.key);
}

// Guards against long queues under overload: queued starts are bound to this
// endpoint and may miss their objectives.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / queue full / next start refused") {
  controller_.Start(kEntry, MakeStart(0, 4000));
  controller_.Start(kEntry, MakeStart(1, 400));
  controller_.Start(kOtherEntry, MakeStart(2, 400));
  CHECK(controller_.State().waiting == start_queue::kMaxQueuedStarts);
  controller_.Start(kEntry, MakeStart(3, 400));
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.key == MakeStart(3).key);
  CHECK(ends_[0].second.kind == run_end_kind::not_run);
}

// Guards against a full queue that refuses a start of a higher priority under
// overload.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / start of a higher priority and queue full / "
                 "queued, last start refused") {
  controller_.Start(kEntry, MakeStart(0, 4000));
  run_start low = MakeStart(1, 400);
  low.priority = 2;
  run_start middle = MakeStart(2, 400);
  middle.priority = 1;
  controller_.Start(kEntry, low);
  controller_.Start(kOtherEntry, middle);
  CHECK(controller_.State().waiting_priority == 2);
  controller_.Start(kOtherEntry, MakeStart(3, 400));
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.key == low.key);
  CHECK(ends_[0].second.kind == run_end_kind::not_run);
  CHECK(controller_.State().waiting_priority == 1);
}

// Guards against a withdrawal that stops a run that has started meanwhile.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / start withdrawn / refused only if queued") {
  controller_.Start(kEntry, MakeStart(0, 4000));
  controller_.Start(kOtherEntry, MakeStart(1, 400));
  controller_.Withdraw(kEntry, MakeStart(0).key);
  CHECK(ends_.empty());
  CHECK(endpoint_.stops.empty());
  controller_.Withdraw(kOtherEntry, MakeStart(1).key);
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::not_run);
  CHECK(UnusedCpu() == 0);
}

TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / link of a queued start closed / never "
                 "started") {
  controller_.Start(kEntry, MakeStart(0, 4000));
  endpoint_.ReplyToStart();
  controller_.Start(kOtherEntry, MakeStart(1, 400));
  controller_.OnLinkClosed(kOtherEntry);
  endpoint_.EndRun(MakeStart(0).key, run_end_kind::done);
  endpoint_.AnswerRenewal();
  CHECK(endpoint_.starts.empty());
  CHECK(UnusedCpu() == 4000);
}

TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / end listed / resources freed and entry "
                 "notified") {
  controller_.Start(kEntry, MakeStart(0, 3000));
  endpoint_.ReplyToStart();
  clock_.Advance(milliseconds(50));
  endpoint_.EndRun(MakeStart(0).key, run_end_kind::done);
  endpoint_.AnswerRenewal();
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::done);
  CHECK(ends_[0].second.ran == milliseconds(50));
  CHECK(UnusedCpu() == 4000);
  CHECK(endpoint_.renewals.back().renewal.acknowledged == 1);
}

// Guards against two concurrent runs of a task: the endpoint may execute an
// unanswered start seconds later.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / start unanswered / resources reserved until "
                 "the run can no longer start") {
  controller_.Start(kEntry, MakeStart(0, 3000));
  endpoint_.starts.front().reply(start_reply::unanswered);
  REQUIRE(endpoint_.stops.size() == 1);
  CHECK(ends_.empty());
  CHECK(UnusedCpu() == 1000);
  SECTION("stop unanswered: sent again") {
    endpoint_.ReplyToStop(false);
    AdvanceTime(run_controller::kStopRetryPeriod);
    REQUIRE(endpoint_.stops.size() == 1);
    CHECK(ends_.empty());
  }
  SECTION("stop acknowledged: lists requested earlier ignored") {
    endpoint_.ReplyToStop();
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
  SECTION("started after all: resources reserved until its end") {
    endpoint_.running.insert(MakeStart(0).key);
    endpoint_.AnswerRenewal();
    CHECK(ends_.empty());
    endpoint_.ReplyToStop();
    endpoint_.AnswerRenewal();
    REQUIRE(ends_.size() == 1);
    CHECK(ends_[0].second.kind == run_end_kind::stopped);
  }
}

// Guards against two concurrent runs of a job that its caller has sent again to
// another entry.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / link closed / only its runs stopped") {
  controller_.Start(kEntry, MakeStart(0));
  controller_.Start(kOtherEntry, MakeStart(1));
  endpoint_.ReplyToStart();
  endpoint_.ReplyToStart();
  controller_.OnLinkClosed(kEntry);
  REQUIRE(endpoint_.stops.size() == 1);
  CHECK(endpoint_.stops.front().key == MakeStart(0).key);
}

// Guards against an agent that resumes after being suspended and executes
// starts that the entry has placed elsewhere meanwhile.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / start older than the limit / refused") {
  const run_start old = MakeStart(0);
  AdvanceTime(run_controller::kMaxStartAge + milliseconds(20));
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
  controller_.Start(kEntry, MakeStart(0));
  CHECK(endpoint_.starts.empty());
  CHECK_FALSE(controller_.State().accepting);
}

// Guards against a delayed announcement of a previous incarnation.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / announcement of an older incarnation / "
                 "ignored") {
  controller_.OnAnnouncement(Announcement(3));
  endpoint_.incarnation = 3;
  endpoint_.AnswerRenewal();
  endpoint_.AnswerRenewal();
  controller_.Start(kEntry, MakeStart(0));
  leased_endpoint older = Announcement(2);
  older.leaving = true;
  controller_.OnAnnouncement(older);
  CHECK(controller_.State().accepting);
  CHECK(ends_.empty());
}

TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / new incarnation / runs listed by the former "
                 "one lost at once") {
  controller_.Start(kEntry, MakeStart(0));
  endpoint_.ReplyToStart();
  endpoint_.AnswerRenewal();
  SECTION("announced") { controller_.OnAnnouncement(Announcement(2)); }
  SECTION("answers a renewal") {
    endpoint_.Restart();
    endpoint_.AnswerRenewal();
  }
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::lost);
  CHECK_FALSE(controller_.State().accepting);
}

// Guards against a run that a restarted endpoint has begun and that is reported
// as lost, so that a second run begins beside it.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / run begun by the new incarnation / kept "
                 "until it ends") {
  controller_.Start(kEntry, MakeStart(0));
  endpoint_.Restart();
  SECTION("start answered") { endpoint_.ReplyToStart(); }
  SECTION("start not answered yet") {
    endpoint_.running.insert(MakeStart(0).key);
  }
  SECTION("start unanswered") {
    endpoint_.running.insert(MakeStart(0).key);
    endpoint_.starts.front().reply(start_reply::unanswered);
  }
  SECTION("restarted again, begun by the last incarnation") {
    endpoint_.AnswerRenewal();
    endpoint_.Restart();
    endpoint_.ReplyToStart();
  }
  SECTION("announced before a renewal is answered") {
    endpoint_.ReplyToStart();
    controller_.OnAnnouncement(Announcement(endpoint_.incarnation));
  }
  endpoint_.AnswerRenewal();
  CHECK(ends_.empty());
  controller_.Tick();
  endpoint_.AnswerLastRenewal();
  CHECK(ends_.empty());
  CHECK(UnusedCpu() == 3000);
  endpoint_.EndRun(MakeStart(0).key, run_end_kind::done);
  endpoint_.AnswerRenewal();
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::done);
}

// Guards against a start that a restarted endpoint executes after it has listed
// its runs.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / start not listed by the new incarnation / "
                 "lost once it has seen a higher fence") {
  controller_.Start(kEntry, MakeStart(0));
  endpoint_.Restart();
  endpoint_.AnswerRenewal();
  CHECK(ends_.empty());
  controller_.Tick();
  REQUIRE(endpoint_.renewals.size() == 1);
  CHECK(endpoint_.renewals.back().renewal.fence > kFirstFence);
  CHECK_FALSE(endpoint_.renewals.back().renewal.lease);
  endpoint_.AnswerRenewal();
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::lost);
  CHECK(UnusedCpu() == 4000);
}

TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / run ended by the new incarnation / its end "
                 "reported") {
  controller_.Start(kEntry, MakeStart(0));
  endpoint_.Restart();
  endpoint_.ReplyToStart();
  endpoint_.EndRun(MakeStart(0).key, run_end_kind::done);
  controller_.OnAnnouncement(Announcement(2));
  endpoint_.AnswerLastRenewal();
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::done);
}

// Guards against runs that are kept for ever, or given up while the new
// incarnation may still run them.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / new incarnation never answers / runs lost "
                 "after the longest lease") {
  controller_.Start(kEntry, MakeStart(0));
  controller_.OnAnnouncement(Announcement(2));
  AdvanceTime(milliseconds(1000), false);
  CHECK(ends_.empty());
  AdvanceTime(milliseconds(100), false);
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::lost);
}

// Guards against a restarted endpoint that is filled up to the resources of its
// former incarnation.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / new incarnation not announced yet / starts "
                 "refused") {
  endpoint_.Restart();
  endpoint_.AnswerRenewal();
  controller_.Tick();
  endpoint_.AnswerLastRenewal();
  CHECK_FALSE(controller_.State().accepting);
  controller_.Start(kEntry, MakeStart(0, 4000));
  CHECK(endpoint_.starts.empty());
  leased_endpoint smaller = Announcement(2);
  smaller.total = {2000, 1000, 0};
  controller_.OnAnnouncement(smaller);
  CHECK(controller_.State().accepting);
  CHECK(UnusedCpu() == 2000);
}

// Guards against an end that a restarted endpoint forgets because the numbers
// of its former incarnation are acknowledged, so that the task runs again.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / renewal unanswered / next one acknowledges "
                 "nothing and does not wait") {
  controller_.Start(kEntry, MakeStart(0));
  endpoint_.ReplyToStart();
  endpoint_.EndRun(MakeStart(0).key, run_end_kind::done);
  endpoint_.AnswerRenewal();
  CHECK(endpoint_.renewals.back().renewal.acknowledged == 1);
  SECTION("no answer") { endpoint_.LoseRenewal(); }
  SECTION("no result of the call") {
    clock_.Advance(run_controller::kRenewalTimeout);
  }
  controller_.Tick();
  REQUIRE_FALSE(endpoint_.renewals.empty());
  CHECK(endpoint_.renewals.back().renewal.acknowledged == 0);
  CHECK(endpoint_.renewals.back().renewal.wait == milliseconds(0));
  endpoint_.AnswerLastRenewal();
  REQUIRE_FALSE(endpoint_.renewals.empty());
  CHECK(endpoint_.renewals.back().renewal.acknowledged == 1);
  CHECK(ends_.size() == 1);
}

// Guards against a second run beside one that an endpoint still works on after
// a late departure message of its former incarnation.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / departure / runs kept while the endpoint "
                 "answers") {
  controller_.Start(kEntry, MakeStart(0));
  endpoint_.ReplyToStart();
  endpoint_.AnswerRenewal();
  controller_.OnDeparture();
  CHECK_FALSE(controller_.State().accepting);
  CHECK(ends_.empty());
  SECTION("answers: until their end") {
    AdvanceTime(milliseconds(2000));
    CHECK(ends_.empty());
    endpoint_.EndRun(MakeStart(0).key, run_end_kind::done);
    AdvanceTime(run_controller::kTickPeriod);
    REQUIRE(ends_.size() == 1);
    CHECK(ends_[0].second.kind == run_end_kind::done);
  }
  SECTION("does not answer: until their lease has expired") {
    AdvanceTime(run_controller::kLease, false);
    CHECK(ends_.empty());
    AdvanceTime(milliseconds(100), false);
    REQUIRE(ends_.size() == 1);
    CHECK(ends_[0].second.kind == run_end_kind::lost);
    endpoint_.renewals.clear();
    AdvanceTime(milliseconds(100), false);
    CHECK(endpoint_.renewals.empty());
  }
  SECTION("announced again: accepts starts") {
    controller_.OnAnnouncement(Announcement());
    CHECK(controller_.State().accepting);
    CHECK(ends_.empty());
  }
}

// Guards against a run that holds its resources on an endpoint that accepts
// tasks and does not work on them.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / run without progress / stopped, resources "
                 "freed when the end is listed") {
  run_start start = MakeStart(0);
  start.estimate = milliseconds(100);
  controller_.Start(kEntry, start);
  endpoint_.ReplyToStart();
  endpoint_.percent = 7;
  AdvanceTime(run_progress::kMinStallTime + 3 * run_controller::kTickPeriod);
  REQUIRE(endpoint_.stops.size() == 1);
  endpoint_.ReplyToStop();
  endpoint_.AnswerRenewal();
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::stopped);
  CHECK(UnusedCpu() == 4000);
  CHECK(lines_.find("run_stalled") != std::string::npos);
}

// Guards against stopping slow runs, and against stopping runs because lists
// are missing.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / slow run or no list / not stopped") {
  run_start start = MakeStart(0);
  start.estimate = milliseconds(100);
  controller_.Start(kEntry, start);
  endpoint_.ReplyToStart();
  SECTION("one percent each 100 ms") {
    for (std::uint32_t done = 0; done < 20; ++done) {
      endpoint_.percent = done;
      AdvanceTime(milliseconds(100));
    }
  }
  SECTION("no list") {
    endpoint_.percent = 7;
    AdvanceTime(milliseconds(40));
    AdvanceTime(milliseconds(300), false);
  }
  SECTION("endpoint reports no progress") { AdvanceTime(milliseconds(2000)); }
  CHECK(endpoint_.stops.empty());
}

// Guards against resources assigned twice while an unreachable endpoint still
// works.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / no answers / lease not extended, runs lost "
                 "after its expiry") {
  controller_.Start(kEntry, MakeStart(0));
  endpoint_.ReplyToStart();
  AdvanceTime(milliseconds(700), false);
  CHECK(ends_.empty());
  CHECK_FALSE(controller_.State().accepting);
  AdvanceTime(milliseconds(100), false);
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::lost);
  const std::uint64_t fence = kFirstFence + 1;
  endpoint_.LoseRenewal();
  controller_.Tick();
  CHECK(endpoint_.renewals.back().renewal.fence == fence);
}

// Guards against a lost run whose log does not show what is known about it.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / runs lost / logged with incarnation and "
                 "answers") {
  controller_.Start(kEntry, MakeStart(0));
  endpoint_.ReplyToStart();
  endpoint_.AnswerRenewal();
  AdvanceTime(milliseconds(40));
  controller_.Start(kEntry, MakeStart(1));
  AdvanceTime(milliseconds(1200), false);
  CHECK(lines_.find("\"lease_ms\":700") != std::string::npos);
  CHECK(lines_.find("\"start_age_ms\":") != std::string::npos);
  const std::size_t first = lines_.find("run_lost");
  REQUIRE(first != std::string::npos);
  const std::size_t second = lines_.find("run_lost", first + 1);
  REQUIRE(second != std::string::npos);
  CHECK(lines_.find("\"listed\":true") != std::string::npos);
  CHECK(lines_.find("\"start_answered\":false") != std::string::npos);
}

// Guards against runs that are reported as lost while a start that was sent
// after the last renewal has extended their lease.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / start sent after the last renewal with a "
                 "lease / runs lost after the lease of the start") {
  controller_.Start(kEntry, MakeStart(0));
  endpoint_.ReplyToStart();
  endpoint_.AnswerRenewal();
  const auto last_start =
      run_controller::kLeaseExtensionTimeout - run_controller::kTickPeriod;
  AdvanceTime(last_start, false);
  controller_.Start(kEntry, MakeStart(1));
  REQUIRE(endpoint_.starts.size() == 1);
  AdvanceTime(run_controller::kLeaseExpiryTimeout - run_controller::kTickPeriod,
              false);
  CHECK(ends_.empty());
  AdvanceTime(2 * run_controller::kTickPeriod, false);
  CHECK(ends_.size() == 2);
}

// Guards against a lease that is renewed for runs that were reported as lost.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / runs reported as lost / lease not extended "
                 "until they are gone") {
  controller_.Start(kEntry, MakeStart(0));
  endpoint_.ReplyToStart();
  AdvanceTime(milliseconds(1300), false);
  REQUIRE(ends_.size() == 1);
  endpoint_.LoseRenewal();
  controller_.Tick();
  endpoint_.renewals.erase(endpoint_.renewals.begin(),
                           endpoint_.renewals.end() - 1);
  CHECK_FALSE(endpoint_.renewals.back().renewal.lease);
  endpoint_.AnswerRenewal();
  CHECK_FALSE(controller_.State().accepting);
  REQUIRE(endpoint_.renewals.size() == 1);
  CHECK_FALSE(endpoint_.renewals.back().renewal.lease);
  CHECK(endpoint_.renewals.back().renewal.wait == run_controller::kRenewalWait);
  endpoint_.ReplyToStop();
  endpoint_.AnswerRenewal();
  CHECK(controller_.State().accepting);
  CHECK(endpoint_.renewals.back().renewal.lease);
}

// Guards against an agent that restarts and renews the lease of runs that its
// former incarnation has started.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / first renewal / only requests the lists") {
  fake_endpoint endpoint;
  run_controller::hooks hooks;
  endpoint.AddHooks(hooks);
  hooks.on_end = [](link_id, const run_end&) {};
  run_controller controller(clock_, log_, metrics_, kFirstFence, hooks);
  controller.OnAnnouncement(Announcement());
  REQUIRE(endpoint.renewals.size() == 1);
  CHECK_FALSE(endpoint.renewals.back().renewal.lease);
  SECTION("nothing runs") {
    endpoint.AnswerRenewal();
    CHECK(endpoint.renewals.back().renewal.lease);
  }
  SECTION("runs are listed") {
    endpoint.running.insert({job_id("k"), 0, 0, 7, 3});
    endpoint.AnswerRenewal();
    CHECK_FALSE(endpoint.renewals.back().renewal.lease);
  }
}

// Guards against runs that are given up at once because the endpoint has seen a
// higher fencing token.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / renewal refused as fenced / runs kept") {
  controller_.Start(kEntry, MakeStart(0));
  endpoint_.ReplyToStart();
  endpoint_.AnswerRenewal();
  endpoint_.RefuseRenewalAsFenced();
  AdvanceTime(run_controller::kTickPeriod, false);
  CHECK(ends_.empty());
  endpoint_.AnswerRenewal();
  CHECK(ends_.empty());
  CHECK(controller_.State().accepting);
}

TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / fencing token refused / raised before any "
                 "start") {
  endpoint_.RefuseRenewalAsFenced();
  controller_.Start(kEntry, MakeStart(0));
  CHECK(endpoint_.starts.empty());
  controller_.Tick();
  CHECK(endpoint_.renewals.back().renewal.fence ==
        kFirstFence + run_controller::kFenceIncrement);
  endpoint_.AnswerRenewal();
  controller_.Start(kEntry, MakeStart(1));
  CHECK(endpoint_.starts.size() == 1);
}

// Guards against resources assigned while runs of a previous agent incarnation
// still use them.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / runs of a previous agent incarnation listed "
                 "/ stopped before any start") {
  const run_key foreign{job_id("k"), 0, 0, 7, 3};
  endpoint_.running.insert(foreign);
  endpoint_.AnswerRenewal();
  CHECK_FALSE(controller_.State().accepting);
  REQUIRE(endpoint_.stops.size() == 1);
  CHECK(endpoint_.stops.front().key == foreign);
  endpoint_.ReplyToStop();
  endpoint_.AnswerRenewal();
  endpoint_.AnswerRenewal();
  CHECK(controller_.State().accepting);
}

TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / stop of an unknown run / answered") {
  controller_.Stop(kEntry, MakeStart(5).key);
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].second.kind == run_end_kind::stopped);
}

// Guards against a queued start that begins after the evacuation, and against
// runs that are ended by it.
TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / data centre evacuated / queued starts "
                 "refused as not run, runs continue") {
  const run_start running = MakeStart(0, 4000);
  controller_.Start(kEntry, running);
  endpoint_.ReplyToStart();
  controller_.Start(kOtherEntry, MakeStart(1));
  REQUIRE(controller_.State().waiting == 1);
  controller_.SetEvacuated(true);
  REQUIRE(ends_.size() == 1);
  CHECK(ends_[0].first == kOtherEntry);
  CHECK(ends_[0].second.kind == run_end_kind::not_run);
  CHECK_FALSE(controller_.State().accepting);
  controller_.Start(kEntry, MakeStart(2, 1));
  REQUIRE(ends_.size() == 2);
  CHECK(ends_[1].second.kind == run_end_kind::not_run);
  AdvanceTime(milliseconds(500));
  CHECK(endpoint_.stops.empty());
  CHECK(controller_.Runs() == 1);
  endpoint_.EndRun(running.key, run_end_kind::done);
  AdvanceTime(milliseconds(100));
  REQUIRE(ends_.size() == 3);
  CHECK(ends_[2].second.kind == run_end_kind::done);
  controller_.SetEvacuated(false);
  CHECK(controller_.State().accepting);
  controller_.Start(kEntry, MakeStart(3));
  CHECK(endpoint_.starts.size() == 1);
}

TEST_CASE_METHOD(run_controller_fixture,
                 "run controller / cold endpoint announced / time left counts "
                 "down") {
  leased_endpoint announced = Announcement();
  announced.cold_left = milliseconds(300);
  controller_.OnAnnouncement(announced);
  CHECK(controller_.State().cold_left == milliseconds(300));
  AdvanceTime(milliseconds(100));
  CHECK(controller_.State().cold_left == milliseconds(200));
  AdvanceTime(milliseconds(400));
  CHECK(controller_.State().cold_left == milliseconds(0));
}

}  // namespace
}  // namespace almond
