#include <catch2/catch.hpp>

#include "libalmond/controllers/entry/dispatch_controller.h"

namespace almond {
namespace {

/// A dispatch controller with agent "a" on link 1, where one task runs, and
/// agent "b" on link 2. The test plays the agents by hand.
class answer_fixture {
 protected:
  answer_fixture()
      : dispatch_(clock_, metrics_,
                  {[this](link_id, const entry_message& message) {
                     if (std::holds_alternative<start_message>(message)) {
                       ++starts_;
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
  void Answer(std::uint64_t link, std::uint32_t index = 0) {
    answer_message message;
    message.name.index = index;
    message.outcome = start_outcome::done;
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
  std::vector<task_result> ends_;
  dispatch_controller dispatch_;
};

// Guards against an answer that reaches another request or counts twice.
TEST_CASE_METHOD(answer_fixture,
                 "answer / crossed or doubled or unknown / counts once") {
  Answer(2);
  Answer(1, 7);
  CHECK(ends_.empty());
  Answer(1);
  Answer(1);
  CHECK(ends_.size() == 1);
}

// Guards against a second start after a report that nobody asked for.
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

// Guards against "never" of another incarnation or agent that is taken as a
// proof, and against reports that count twice.
TEST_CASE_METHOD(answer_fixture,
                 "query answer / task in doubt / only its agent decides") {
  const auto row =
      GENERATE(report_case{"same incarnation", 3, task_state::fenced, 5, 0, 1},
               report_case{"other incarnation", 3, task_state::fenced, 9, 1, 0},
               report_case{"never elsewhere", 2, task_state::fenced, 5, 0, 0},
               report_case{"unknown", 3, task_state::unknown, 5, 1, 0},
               report_case{"running", 3, task_state::running, 5, 0, 0},
               report_case{"ended", 3, task_state::ended, 5, 1, 0},
               report_case{"old link", 1, task_state::ended, 5, 0, 0});
  INFO(row.name);
  Reconnect(5);
  for (int i = 0; i < 2; ++i) {
    Report(row.link, row.state, row.incarnation);
    CHECK(ends_.size() == row.ends);
    CHECK(dispatch_.Queued() == row.queued);
  }
  CHECK(starts_ == 1);
}

// Guards against tasks that hang when the query or its answer is lost.
TEST_CASE_METHOD(answer_fixture,
                 "query answer / lost with its connection / unknown in time") {
  Reconnect(5);
  dispatch_.OnAgentClosed(link_id(3));
  clock_.Advance(flight_table::kDoubtLimit);
  dispatch_.Tick();
  REQUIRE(ends_.size() == 1);
  CHECK(std::get<refusal>(ends_[0]).reason == refusal_reason::agent_lost);
  CHECK(std::get<refusal>(ends_[0]).outcome == run_outcome::unknown);
}

}  // namespace
}  // namespace almond
