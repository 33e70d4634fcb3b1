#include <catch2/catch.hpp>

#include "libalmond/controllers/entry/dispatch_controller.h"

namespace almond {
namespace {

/// A dispatch controller with agent "a" on link 1, where one task is in flight,
/// and agent "b" on link 2. The test sends the agents' messages.
class answer_fixture {
 protected:
  answer_fixture()
      : dispatch_(
            clock_, metrics_,
            {[this](link_id, const entry_message& message) {
               if (std::holds_alternative<start_message>(message)) {
                 ++starts_;
               }
               if (const auto* forget =
                       std::get_if<acknowledge_message>(&message)) {
                 forgotten_ += forget->names.size();
               }
               if (const auto* query = std::get_if<query_message>(&message)) {
                 last_query_ = query->query;
               }
             },
             [this](const task_end& end) { ends_.push_back(end.result); },
             [](const team_id&) { return std::uint32_t{1}; },
             {},
             {},
             {}}) {
    Announce(1, "a", 5);
    Announce(2, "b", 6);
    dispatch_.OnMessage(link_id(1),
                        grant_message{{grant_id(1)}, milliseconds(2000)});
    task work;
    work.name.index = 0;
    work.service = service_id("s");
    work.deadline = clock_.SteadyNow() + std::chrono::seconds(5);
    dispatch_.Submit(work);
    REQUIRE(starts_ == 1);
  }
  void Announce(std::uint64_t link, const std::string& agent,
                std::uint64_t incarnation) {
    announce_message message;
    message.agent = agent_id(agent);
    message.incarnation = incarnation_id(incarnation);
    message.service = service_id("s");
    message.slots = 1;
    dispatch_.OnMessage(link_id(link), message);
  }
  void Answer(std::uint64_t link, std::uint32_t index = 0,
              start_outcome outcome = start_outcome::done) {
    answer_message message;
    message.name.index = index;
    message.outcome = outcome;
    dispatch_.OnMessage(link_id(link), message);
  }
  void Report(std::uint64_t link, task_state state, std::uint64_t incarnation) {
    query_answer_message message;
    message.incarnation = incarnation_id(incarnation);
    task_report report;
    report.state = state;
    report.answer.outcome = start_outcome::done;
    message.tasks = {report};
    dispatch_.OnMessage(link_id(link), message);
  }
  void Reconnect(std::uint64_t incarnation) {
    dispatch_.OnAgentClosed(link_id(1));
    Announce(3, "a", incarnation);
  }

  manual_clock clock_;
  metrics_registry metrics_;
  int starts_ = 0;
  std::size_t forgotten_ = 0;
  std::uint64_t last_query_ = 0;
  std::vector<task_result> ends_;
  dispatch_controller dispatch_;
};

// Guards against an answer that is taken for another task's or counted twice.
TEST_CASE_METHOD(answer_fixture,
                 "answer / misdirected or duplicate or unknown / counts once") {
  Answer(2);
  Answer(1, 7);
  CHECK(ends_.empty());
  Answer(1);
  Answer(1);
  CHECK(ends_.size() == 1);
}

// Guards against a second start after an unsolicited report.
TEST_CASE_METHOD(answer_fixture, "query answer / task not in doubt / ignored") {
  Report(1, task_state::fenced, 5);
  CHECK(dispatch_.InFlight() == 1);
  CHECK(dispatch_.Queued() == 0);
}

struct report_case {
  const char* name;
  std::uint64_t link;
  task_state state;
  std::uint64_t incarnation;
  std::size_t ends;
  std::size_t queued;
};

// Guards against a report by another incarnation or agent that is taken as
// proof that the task was not started, and against reports counted twice.
TEST_CASE_METHOD(answer_fixture,
                 "query answer / task in doubt / only its agent decides") {
  const auto row = GENERATE(
      report_case{"same incarnation", 3, task_state::fenced, 5, 0, 1},
      report_case{"other incarnation", 3, task_state::fenced, 9, 1, 0},
      report_case{"not seen at another agent", 2, task_state::fenced, 5, 0, 0},
      report_case{"unknown", 3, task_state::unknown, 5, 1, 0},
      report_case{"running", 3, task_state::running, 5, 0, 0},
      report_case{"ended", 3, task_state::ended, 5, 1, 0},
      report_case{"previous link", 1, task_state::ended, 5, 0, 0});
  INFO(row.name);
  Reconnect(5);
  for (int i = 0; i < 2; ++i) {
    Report(row.link, row.state, row.incarnation);
    CHECK(ends_.size() == row.ends);
    CHECK(dispatch_.Queued() == row.queued);
  }
  CHECK(starts_ == 1);
}

// Guards against tasks that stay in flight for ever when a query or its answer
// is lost.
TEST_CASE_METHOD(
    answer_fixture,
    "query answer / lost with its connection / unknown after the time-out") {
  Reconnect(5);
  dispatch_.OnAgentClosed(link_id(3));
  clock_.Advance(in_flight_table::kInDoubtTimeout);
  dispatch_.Tick();
  REQUIRE(ends_.size() == 1);
  CHECK(std::get<refusal>(ends_[0]).reason == refusal_reason::agent_lost);
  CHECK(std::get<refusal>(ends_[0]).outcome == run_outcome::unknown);
}

// Guards against a second start: an answer to an earlier start must not requeue
// a task that is running elsewhere.
TEST_CASE_METHOD(answer_fixture,
                 "answer / to an earlier start / task stays in flight") {
  const auto outcome = GENERATE(start_outcome::refused, start_outcome::not_sent,
                                start_outcome::fenced);
  dispatch_.OnMessage(link_id(2),
                      grant_message{{grant_id(1)}, milliseconds(2000)});
  SECTION("from the former agent") {
    Answer(1, 0, outcome);
    REQUIRE(starts_ == 2);
    Answer(1, 0, outcome);
  }
  SECTION("from the former connection") {
    Reconnect(5);
    Answer(1, 0, outcome);
    CHECK(starts_ == 1);
    Report(3, task_state::fenced, 5);
    REQUIRE(starts_ == 2);
    Answer(3, 0, outcome);
    Report(3, task_state::fenced, 5);
  }
  CHECK(starts_ == 2);
  CHECK(dispatch_.InFlight() == 1);
  CHECK(dispatch_.Queued() == 0);
}

// Guards against trusting a refusal by a new incarnation, which knows nothing
// of a start sent to the previous one.
TEST_CASE_METHOD(answer_fixture,
                 "answer / other incarnation / no proof of not-run") {
  Reconnect(9);
  Answer(3, 0, start_outcome::refused);
  CHECK(dispatch_.Queued() == 0);
  CHECK(dispatch_.InFlight() == 1);
}

// Guards against agents keeping a name for their whole retention window because
// the answer arrived after the entry had abandoned the task.
TEST_CASE_METHOD(answer_fixture, "answer / task abandoned / acknowledged") {
  clock_.Advance(std::chrono::seconds(5));
  dispatch_.Tick();
  clock_.Advance(dispatch_controller::kCancelGracePeriod);
  dispatch_.Tick();
  REQUIRE(ends_.size() == 1);
  Answer(1);
  Answer(1, 7);
  clock_.Advance(dispatch_controller::kAcknowledgePeriod);
  dispatch_.Tick();
  CHECK(forgotten_ == 1);
}

// Guards against a multi-part answer that is taken as complete after its first
// message.
TEST_CASE_METHOD(answer_fixture,
                 "query answer / in several messages / counted by name") {
  std::vector<std::size_t> reported;
  query_message query;
  query.submission = uuid();
  query.task_count = 3;
  dispatch_.Query(link_id(1), query,
                  [&](const std::optional<query_answer_message>& answer) {
                    reported.push_back(answer ? answer->tasks.size() : 0);
                  });
  const auto part = [this](std::uint32_t index) {
    query_answer_message message;
    message.query = last_query_;
    message.tasks.resize(1);
    message.tasks[0].name.index = index;
    dispatch_.OnMessage(link_id(1), message);
  };
  part(0);
  part(1);
  part(1);
  CHECK(reported.empty());
  part(2);
  CHECK(reported == std::vector<std::size_t>{3});
  part(2);
  CHECK(reported.size() == 1);
}

// Guards against a task that currently fits no endpoint using up the grants of
// the tasks behind it.
TEST_CASE_METHOD(answer_fixture,
                 "not sent / task does not fit now / tasks behind it start") {
  Answer(1);
  const auto grant = [this](std::uint64_t id) {
    dispatch_.OnMessage(link_id(1),
                        grant_message{{grant_id(id)}, milliseconds(2000)});
  };
  const auto submit = [this](std::uint32_t index, std::uint32_t memory) {
    task work;
    work.name.index = index;
    work.service = service_id("s");
    work.size.memory_mib = memory;
    work.deadline = clock_.SteadyNow() + std::chrono::seconds(5);
    dispatch_.Submit(work);
  };
  grant(2);
  submit(10, 100);
  submit(11, 0);
  REQUIRE(starts_ == 2);
  grant(3);
  Answer(1, 10, start_outcome::not_sent);
  CHECK(starts_ == 3);
  grant(4);
  CHECK(starts_ == 3);
  Answer(1, 11);
  CHECK(starts_ == 4);
  for (std::uint64_t id = 5; id < 15; ++id) {
    Answer(1, 10, start_outcome::not_sent);
    clock_.Advance(dispatch_controller::kCancelGracePeriod);
    grant(id);
  }
  CHECK(starts_ == 14);
  CHECK(ends_.size() == 2);
}

}  // namespace
}  // namespace almond
