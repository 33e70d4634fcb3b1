#include "libalmond/controllers/agent/start_table.h"

#include <catch2/catch.hpp>
#include <random>

namespace almond {
namespace {

class start_table_fixture {
 protected:
  start_table_fixture() : table_(clock_, kIncarnation, Bounds()) {
    submission_ = uuid::MakeV7(clock_.WallNow(), random_);
  }

  static start_table::limits Bounds() {
    start_table::limits bounds;
    bounds.max_names = 3;
    bounds.max_fences = 2;
    bounds.max_answer_bytes = 10;
    return bounds;
  }

  task_name Task(std::uint32_t index) const { return {submission_, index}; }

  void End(std::uint32_t index, start_outcome outcome,
           const std::string& body = "") {
    answer_message answer;
    answer.name = Task(index);
    answer.outcome = outcome;
    answer.body = body;
    table_.End(answer);
  }

  task_state State(std::uint32_t index, bool fence = false) {
    query_message query;
    query.names = {Task(index)};
    query.fence = fence;
    return table_.AnswerQuery(query).at(0).state;
  }

  std::vector<task_report> Takeover(std::uint32_t count, std::uint64_t epoch) {
    query_message query;
    query.submission = submission_;
    query.task_count = count;
    query.fence = true;
    query.epoch = owner_epoch(epoch);
    return table_.AnswerQuery(query);
  }

  using begin = start_table::begin_outcome;
  static constexpr incarnation_id kIncarnation{7};

  manual_clock clock_;
  std::mt19937_64 random_{1};
  start_table table_;
  uuid submission_;
};

// Guards against a second start of a name, and against a name that stays
// blocked after a start that was not run.
TEST_CASE_METHOD(start_table_fixture,
                 "start table / second start after each result / accepted only "
                 "if the first was not run") {
  struct end_case {
    start_outcome outcome;
    begin second;
    task_state state;
  };
  const auto row = GENERATE(values<end_case>({
      {start_outcome::done, begin::known, task_state::ended},
      {start_outcome::failed, begin::known, task_state::ended},
      {start_outcome::lost, begin::known, task_state::ended},
      {start_outcome::refused, begin::accepted, task_state::not_seen},
      {start_outcome::not_sent, begin::accepted, task_state::not_seen},
  }));
  REQUIRE(table_.Begin(Task(0), {}) == begin::accepted);
  CHECK(table_.Begin(Task(0), {}) == begin::known);
  CHECK(State(0) == task_state::running);
  End(0, row.outcome, "x");
  CHECK(State(0) == row.state);
  CHECK(table_.Begin(Task(0), {}) == row.second);
}

// Guards against reporting `not_seen` for a name that may have been started,
// in each way in which its record is dropped.
TEST_CASE_METHOD(start_table_fixture,
                 "start table / name dropped / reported as unknown") {
  REQUIRE(table_.Begin(Task(0), {}) == begin::accepted);
  SECTION("acknowledged") {
    End(0, start_outcome::done, "x");
    table_.Forget({Task(0)});
    CHECK(table_.AnswerBytes() == 0);
    clock_.Advance(std::chrono::seconds(9));
  }
  SECTION("expired") {
    End(0, start_outcome::done, "x");
    clock_.Advance(start_table::limits().retention);
  }
  SECTION("answer dropped at the limit of stored bytes") {
    End(0, start_outcome::done, "123456");
    REQUIRE(table_.Begin(Task(1), {}) == begin::accepted);
    End(1, start_outcome::done, "12345");
    CHECK(table_.AnswerBytes() == 5);
    CHECK(State(1) == task_state::ended);
  }
  SECTION("other incarnation") {
    query_message query;
    query.names = {Task(0), Task(5)};
    query.incarnation = incarnation_id(6);
    for (const auto& report : table_.AnswerQuery(query)) {
      CHECK(report.state == task_state::unknown);
    }
    return;
  }
  table_.Expire();
  CHECK(State(0) == task_state::unknown);
  CHECK(State(0, true) == task_state::unknown);
}

// Guards against unbounded memory use, and against a fence that is reported but
// not recorded.
TEST_CASE_METHOD(start_table_fixture,
                 "start table / limits reached / starts refused and reports "
                 "correct") {
  for (std::uint32_t i = 0; i < 3; ++i) {
    REQUIRE(table_.Begin(Task(i), {}) == begin::accepted);
  }
  CHECK(table_.Begin(Task(3), {}) == begin::full);
  CHECK(State(3, true) == task_state::fenced);
  CHECK(State(4, true) == task_state::fenced);
  CHECK(State(5, true) == task_state::unknown);
  End(0, start_outcome::done);
  table_.Forget({Task(0)});
  CHECK(table_.Begin(Task(6), {}) == begin::full);
  clock_.Advance(std::chrono::seconds(10));
  table_.Expire();
  CHECK(table_.Begin(Task(6), {}) == begin::accepted);
  CHECK(table_.Begin(Task(3), {}) == begin::fenced);
  for (const std::uint32_t i : {1, 2, 6}) End(i, start_outcome::done);
  clock_.Advance(start_table::limits().retention);
  table_.Expire();
  CHECK(table_.size() == 0);
  CHECK(table_.Fences() == 0);
}

// Guards against starts of the previous owner after a takeover, and against a
// `fenced` report for a name that was started.
TEST_CASE_METHOD(start_table_fixture,
                 "start table / takeover / absent names fenced and started "
                 "ones reported") {
  REQUIRE(table_.Begin(Task(1), owner_epoch(1)) == begin::accepted);
  REQUIRE(table_.Begin(Task(9), owner_epoch(1)) == begin::accepted);
  End(9, start_outcome::done, "x");
  const auto reports = Takeover(3, 2);
  REQUIRE(reports.size() == 4);
  CHECK(reports[0].state == task_state::fenced);
  CHECK(reports[1].state == task_state::running);
  CHECK(reports[2].state == task_state::fenced);
  CHECK(reports[3].name == Task(9));
  CHECK(reports[3].answer.body == "x");
  CHECK(table_.Check(Task(5), owner_epoch(1)) == begin::fenced);
  CHECK(table_.Check(Task(5), owner_epoch(2)) == begin::accepted);
  CHECK(table_.Check(Task(9), owner_epoch(1)) == begin::known);
  CHECK(table_.Superseded(submission_, owner_epoch(1)));
  CHECK(Takeover(UINT32_MAX, 3).size() == start_table::kMaxQueryTasks);
}

}  // namespace
}  // namespace almond
