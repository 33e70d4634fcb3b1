#include "libalmond/controllers/agent/agent_controller.h"

#include <catch2/catch.hpp>

#include "libalmond/controllers/agent/query_answers.h"

namespace almond {
namespace {

class agent_controller_fixture {
 protected:
  agent_controller_fixture() {
    endpoint_.service = service_id("s");
    endpoint_.address = {"127.0.0.1", 9000};
    endpoint_.slots = 3;
    endpoint_.cpu_milli = 2000;
    endpoint_.memory_mib = 1000;
    endpoint_.controls.stop = true;
    start_table::limits bounds;
    bounds.max_names = 2;
    agent_controller::hooks hooks;
    hooks.send = [this](link_id link, const agent_message& message) {
      if (const auto* grant = std::get_if<grant_message>(&message)) {
        ++grant_messages_;
        grants_.insert(grants_.end(), grant->grants.begin(),
                       grant->grants.end());
      }
      if (const auto* answer = std::get_if<answer_message>(&message)) {
        answers_.emplace_back(link, *answer);
      }
    };
    hooks.start = [this](run_id run, const socket_address&,
                         const start_message&) { runs_.push_back(run); };
    hooks.control = [this](run_id run, const socket_address&, const task_name&,
                           task_control control) {
      controls_.emplace_back(run, control);
    };
    hooks.wake = [] {};
    agent_ = std::make_unique<agent_controller>(
        clock_, metrics_,
        agent_controller::identity{agent_id("a"), incarnation_id(1), {}},
        std::move(hooks), bounds);
    agent_->OnEntryConnected(kFirst);
    agent_->OnAnnouncement(endpoint_);
    agent_->Flush();
    REQUIRE(grants_.size() == 3);
  }

  /// @returns a start that uses one of the received grants
  start_message Start(std::uint32_t index) {
    start_message start;
    start.grant = grants_.back();
    grants_.pop_back();
    start.name = {submission_, index};
    start.time_left = milliseconds(5000);
    return start;
  }

  void Deliver(link_id link, const entry_message& message) {
    agent_->OnMessage(link, message);
    agent_->Flush();
  }

  std::uint64_t Refused(const std::string& reason) {
    return metrics_
        .Counter("almond_agent_refusals_total", "reason=\"" + reason + "\"")
        .Value();
  }

  static constexpr link_id kFirst{1};
  static constexpr link_id kSecond{2};

  manual_clock clock_;
  metrics_registry metrics_;
  std::mt19937_64 random_{1};
  uuid submission_ = uuid::MakeV7(clock_.WallNow(), random_);
  endpoint_announcement endpoint_;
  std::unique_ptr<agent_controller> agent_;
  std::vector<grant_id> grants_;
  std::size_t grant_messages_ = 0;
  std::vector<std::pair<link_id, answer_message>> answers_;
  std::vector<run_id> runs_;
  std::vector<std::pair<run_id, task_control>> controls_;
};

// Guards against starts on a dead endpoint until its announcement times out,
// which would use up the attempts of their tasks.
TEST_CASE_METHOD(agent_controller_fixture,
                 "agent controller / connection refused / no grants until the "
                 "next announcement") {
  Deliver(kFirst, Start(0));
  REQUIRE(runs_.size() == 1);
  agent_->OnStartResult(runs_[0], {start_outcome::not_sent, 0, ""});
  agent_->Flush();
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].second.outcome == start_outcome::not_sent);
  CHECK_FALSE(answers_[0].second.next_grant.has_value());
  Deliver(kFirst, Start(1));
  CHECK(runs_.size() == 1);
  grants_.clear();
  agent_->Tick();
  agent_->Flush();
  CHECK(grants_.empty());
  agent_->OnAnnouncement(endpoint_);
  agent_->Flush();
  CHECK_FALSE(grants_.empty());
}

// Guards against refusals that are not counted by reason, start the task or
// leak its slot.
TEST_CASE_METHOD(agent_controller_fixture,
                 "agent controller / start that cannot be admitted / not sent "
                 "with its reason") {
  start_message start = Start(5);
  std::string reason;
  SECTION("grant unknown") {
    start.grant = grant_id(99);
    reason = "grant-expired";
  }
  SECTION("grant lease expired") {
    clock_.Advance(slot_controller::kLease);
    reason = "grant-expired";
  }
  SECTION("deadline passed") {
    start.time_left = milliseconds(0);
    reason = "deadline";
  }
  SECTION("exceeds the total memory") {
    start.size.memory_mib = 1001;
    reason = "exceeds-endpoint";
  }
  SECTION("not enough free memory") {
    start_message other = Start(0);
    other.size.memory_mib = 600;
    Deliver(kFirst, other);
    start.size.memory_mib = 401;
    reason = "no-resources";
  }
  SECTION("not enough free CPU") {
    start_message other = Start(0);
    other.size.cpu_milli = 1500;
    Deliver(kFirst, other);
    start.size.cpu_milli = 501;
    reason = "no-resources";
  }
  SECTION("start table full") {
    Deliver(kFirst, Start(0));
    Deliver(kFirst, Start(1));
    reason = "table-full";
  }
  SECTION("endpoint absent") {
    clock_.Advance(endpoint_controller::kTimeout);
    agent_->Tick();
    reason = "no-endpoint";
  }
  const std::size_t runs = runs_.size();
  Deliver(kFirst, start);
  INFO(reason);
  CHECK(Refused(reason) == 1);
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].second.outcome == start_outcome::not_sent);
  CHECK(runs_.size() == runs);
  CHECK(agent_->Slots().Busy() == runs);
}

// Guards against a duplicate start that is run again or answered with "not
// sent", and against an answer to the older connection.
TEST_CASE_METHOD(agent_controller_fixture,
                 "agent controller / duplicate start / answer sent to the "
                 "connection of the last one") {
  const start_message start = Start(0);
  Deliver(kFirst, start);
  agent_->OnEntryConnected(kSecond);
  Deliver(kSecond, start);
  CHECK(answers_.empty());
  agent_->OnStartResult(runs_.at(0), {start_outcome::done, 200, "x"});
  agent_->Flush();
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].first == kSecond);
  Deliver(kFirst, start);
  REQUIRE(answers_.size() == 2);
  CHECK(answers_[1].first == kFirst);
  CHECK(answers_[1].second.body == "x");
  CHECK(runs_.size() == 1);
  CHECK(agent_->Slots().Busy() == 0);
}

// Guards against a read-only query that redirects the answer from its connected
// owner.
TEST_CASE_METHOD(
    agent_controller_fixture,
    "agent controller / query of a running task / answer redirected "
    "only by a fence") {
  const bool fence = GENERATE(false, true);
  Deliver(kFirst, Start(0));
  agent_->OnEntryConnected(kSecond);
  query_message query;
  query.names = {{submission_, 0}};
  query.fence = fence;
  Deliver(kSecond, query);
  agent_->OnStartResult(runs_.at(0), {start_outcome::done, 200, ""});
  agent_->Flush();
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].first == (fence ? kSecond : kFirst));
}

// Guards against tasks that run after their deadline, and against a stop
// request in each tick.
TEST_CASE_METHOD(agent_controller_fixture,
                 "agent controller / deadline passed / stopped once") {
  Deliver(kFirst, Start(0));
  clock_.Advance(milliseconds(5000) + agent_controller::kStopGrace);
  agent_->OnAnnouncement(endpoint_);
  agent_->Tick();
  agent_->Tick();
  REQUIRE(controls_.size() == 1);
  CHECK(controls_[0].second == task_control::stop);
  CHECK(agent_->Slots().Busy() == 1);
}

// Guards against one grant message per freed slot.
TEST_CASE_METHOD(agent_controller_fixture,
                 "agent controller / many ends at once / grants batched") {
  CHECK(grant_messages_ == 1);
  Deliver(kFirst, Start(0));
  Deliver(kFirst, Start(1));
  grants_.clear();
  for (const run_id run : runs_) {
    agent_->OnStartResult(run, {start_outcome::done, 200, ""});
  }
  agent_->Flush();
  CHECK(grant_messages_ == 1);
  REQUIRE(answers_.size() == 2);
  for (const auto& [link, answer] : answers_) CHECK(answer.next_grant);
}

// Guards against messages that exceed the frame limit.
TEST_CASE_METHOD(agent_controller_fixture,
                 "agent controller / large answers / split into messages or "
                 "failed") {
  Deliver(kFirst, Start(0));
  const std::string large(agent_controller::kMaxAnswerBytes + 1, 'x');
  agent_->OnStartResult(runs_.at(0), {start_outcome::done, 200, large});
  agent_->Flush();
  CHECK(answers_.at(0).second.outcome == start_outcome::failed);
  CHECK(answers_.at(0).second.body.empty());
  std::vector<task_report> reports(5);
  for (auto& report : reports) {
    report.answer.body = std::string(kQueryAnswerBytes / 2, 'x');
  }
  const auto messages = SplitReports({}, reports);
  REQUIRE(messages.size() == 3);
  CHECK(messages[2].tasks.size() == 1);
  CHECK(SplitReports({}, {}).size() == 1);
}

// Guards against starts under grants from before the evacuation.
TEST_CASE_METHOD(agent_controller_fixture,
                 "agent / data centre evacuated / grants void and none issued "
                 "until it is taken back") {
  const start_message before = Start(0);
  Deliver(kFirst, before);
  REQUIRE(runs_.size() == 1);
  agent_->SetEvacuated(true);
  grants_.clear();
  Deliver(kFirst, demand_message{5, false});
  CHECK(grants_.empty());
  CHECK(agent_->Slots().GrantedSlots() == 0);
  start_message late = before;
  late.name.index = 1;
  late.grant = grant_id(before.grant.Value() - 1);
  Deliver(kFirst, late);
  CHECK(runs_.size() == 1);
  CHECK(Refused("evacuated") == 1);
  CHECK(agent_->Running() == 1);
  agent_->SetEvacuated(false);
  agent_->Flush();
  CHECK_FALSE(grants_.empty());
}

}  // namespace
}  // namespace almond
