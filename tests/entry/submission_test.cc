#include <catch2/catch.hpp>

#include "entry/fake_network.h"
#include "libalmond/controllers/entry/submission_controller.h"

namespace almond {
namespace {

/// One entry with a fake ledger that the test answers for.
class submission_fixture {
 protected:
  submission_fixture()
      : submissions_(net_.clock, net_.dispatch, net_.jobs, entry_id("e1"),
                     incarnation_id(7)) {
    ledger_hooks hooks;
    hooks.claim = [this](const ledger_claim_message& message,
                         ledger_hooks::claim_reply reply) {
      claims_.push_back({message, std::move(reply)});
    };
    hooks.finish = [this](const ledger_finish_message& message) {
      finished_.push_back(message);
    };
    hooks.read = [this](const uuid&, const ledger_hooks::read_reply& reply) {
      ++reads_;
      if (ledger_silent_) return;
      reply(ledger_read_reply_message{record_});
    };
    submissions_.SetLedger(hooks);
    net_.OpenAll();
  }

  named_submission Make(std::size_t count) {
    named_submission named;
    named.tasks = net_.MakeTasks(count, milliseconds(4000));
    for (task& work : named.tasks) work.named_submission = true;
    named.digest = SubmissionDigest(named.tasks);
    named.deadline = named.tasks.front().deadline;
    return named;
  }
  void Submit(const named_submission& named) {
    submissions_.Submit(named, [this](const job_result& answer) {
      answers_.push_back(answer);
    });
  }
  void Run(milliseconds time) {
    for (milliseconds t{0}; t < time; t += milliseconds(50)) {
      net_.Run(milliseconds(50));
      submissions_.Tick();
    }
  }
  void Reply(std::size_t claim, claim_outcome outcome,
             ledger_state state = ledger_state::running,
             const std::string& owner = "e1", std::uint64_t incarnation = 7) {
    const auto& message = claims_.at(claim).first;
    ledger_record record;
    record.submission = message.submission;
    record.digest = message.digest;
    record.service = message.service;
    record.task_count = message.task_count;
    record.owner = entry_id(owner);
    record.owner_incarnation = incarnation_id(incarnation);
    record.epoch = owner_epoch(1);
    record.state = state;
    record.failure = {refusal_reason::owner_lost, run_outcome::unknown, ""};
    record.accepted = net_.clock.WallNow();
    record.deadline = message.deadline;
    record_ = record;
    claims_.at(claim).second(ledger_claim_reply_message{outcome, record});
  }
  /// Runs the tasks as another entry would have, directly at the agents.
  void StartElsewhere(const named_submission& named, std::size_t tasks) {
    for (std::size_t i = 0; i < tasks; ++i) {
      const task& work = named.tasks[i];
      net_.agents[i % 3]->Table().Begin(work.name, owner_epoch(1));
      answer_message answer;
      answer.name = work.name;
      answer.outcome = start_outcome::done;
      answer.status = 200;
      answer.body = "result of " + work.body;
      net_.agents[i % 3]->Table().End(answer);
    }
  }
  refusal Cause(std::size_t answer) {
    REQUIRE(answers_.size() > answer);
    REQUIRE(std::holds_alternative<job_failure>(answers_[answer]));
    return std::get<job_failure>(answers_[answer]).cause;
  }
  std::vector<std::string> Bodies(std::size_t answer) {
    REQUIRE(answers_.size() > answer);
    REQUIRE(std::holds_alternative<job_success>(answers_[answer]));
    return std::get<job_success>(answers_[answer]).bodies;
  }

  fake_network net_;
  submission_controller submissions_;
  std::vector<std::pair<ledger_claim_message, ledger_hooks::claim_reply>>
      claims_;
  std::vector<ledger_finish_message> finished_;
  std::optional<ledger_record> record_;
  std::vector<job_result> answers_;
  int reads_ = 0;
  bool ledger_silent_ = false;
};

// Guards against running a submission twice, and against callers without an
// answer.
TEST_CASE_METHOD(submission_fixture,
                 "submission / two callers at one entry / one run and answer") {
  const auto named = Make(5);
  Submit(named);
  Submit(named);
  REQUIRE(claims_.size() == 1);
  CHECK(net_.starts.empty());
  Reply(0, claim_outcome::accepted);
  Run(milliseconds(500));
  CHECK(Bodies(0).size() == 5);
  CHECK(Bodies(0) == Bodies(1));
  REQUIRE(finished_.size() == 1);
  CHECK(finished_[0].state == ledger_state::complete);
  Submit(named);
  CHECK(Bodies(2) == Bodies(0));
  CHECK(net_.starts.size() == 5);
  auto other = named;
  other.tasks[0].body = "other";
  other.digest = SubmissionDigest(other.tasks);
  Submit(other);
  CHECK(Cause(3).reason == refusal_reason::submission_conflict);
  CHECK(Cause(3).outcome == run_outcome::unknown);
  CHECK(claims_.size() == 1);
}

struct refusal_case {
  claim_outcome outcome;
  refusal_reason reason;
  run_outcome ran;
};

// Guards against starting a submission that the ledger refuses.
TEST_CASE_METHOD(submission_fixture,
                 "submission / claim refused / nothing starts") {
  const refusal_case row = GENERATE(
      // A conflict has an unknown outcome: the first content may have run.
      refusal_case{claim_outcome::conflict, refusal_reason::submission_conflict,
                   run_outcome::unknown},
      refusal_case{claim_outcome::expired, refusal_reason::submission_expired,
                   run_outcome::unknown},
      refusal_case{claim_outcome::too_new, refusal_reason::bad_submission_id,
                   run_outcome::not_run});
  Submit(Make(3));
  Reply(0, row.outcome);
  CHECK(Cause(0).reason == row.reason);
  CHECK(Cause(0).outcome == row.ran);
  Run(milliseconds(500));
  CHECK(net_.starts.empty());
}

// Guards against reporting "not-run" for an id that may have run at another
// entry, and against running it after the caller has been refused.
TEST_CASE_METHOD(
    submission_fixture,
    "submission / ledger does not answer / refused and never run") {
  const auto named = Make(3);
  Submit(named);
  Run(milliseconds(2500));
  CHECK(Cause(0).reason == refusal_reason::ledger_unavailable);
  CHECK(Cause(0).outcome == run_outcome::unknown);
  SECTION("late acceptance") { Reply(0, claim_outcome::accepted); }
  SECTION("resubmission finds the record") {
    Submit(named);
    Reply(1, claim_outcome::exists);
    CHECK(Cause(1).reason == refusal_reason::ledger_unavailable);
  }
  REQUIRE(finished_.size() == 1);
  CHECK(finished_[0].state == ledger_state::failed);
  CHECK(finished_[0].failure.outcome == run_outcome::not_run);
  Run(milliseconds(500));
  CHECK(net_.starts.empty());
}

// Guards against a second run by the entry that receives the resubmission.
TEST_CASE_METHOD(submission_fixture,
                 "submission / runs elsewhere / polled and collected") {
  const auto named = Make(5);
  Submit(named);
  Reply(0, claim_outcome::exists, ledger_state::running, "e2");
  Run(milliseconds(1000));
  CHECK(answers_.empty());
  CHECK(reads_ >= 2);
  SECTION("complete") {
    StartElsewhere(named, 5);
    record_->state = ledger_state::complete;
    Run(milliseconds(2000));
    CHECK(Bodies(0).size() == 5);
  }
  SECTION("complete but an answer is gone") {
    StartElsewhere(named, 4);
    record_->state = ledger_state::complete;
    Run(milliseconds(5000));
    CHECK(Cause(0).reason == refusal_reason::answer_lost);
    CHECK(Cause(0).outcome == run_outcome::unknown);
  }
  SECTION("failed") {
    record_->state = ledger_state::failed;
    Run(milliseconds(2000));
    CHECK(Cause(0).reason == refusal_reason::owner_lost);
  }
  SECTION("never ends") {
    Run(milliseconds(5000));
    CHECK(Cause(0).reason == refusal_reason::deadline_running);
    CHECK(Cause(0).outcome == run_outcome::unknown);
  }
  CHECK(submissions_.size() == 0);
  CHECK(net_.starts.empty());
}

// Guards against reporting "not-run" for a refused submission that has run or
// may run, and against a refusal that hides the result of an earlier request.
TEST_CASE_METHOD(submission_fixture,
                 "refused submission / record in the ledger / followed") {
  const auto named = Make(2);
  const auto refuse = [&](const named_submission& submitted) {
    submissions_.RefuseUnlessRecorded(
        submitted, {refusal_reason::overloaded, run_outcome::not_run, "full"},
        [this](const job_result& answer) { answers_.push_back(answer); });
  };
  ledger_record record;
  record.submission = named.tasks.front().name.submission;
  record.digest = named.digest;
  record.service = service_id("s");
  record.task_count = 2;
  record.owner = entry_id("e2");
  SECTION("no record") {
    refuse(named);
    CHECK(Cause(0) ==
          refusal{refusal_reason::overloaded, run_outcome::not_run, "full"});
  }
  SECTION("no answer of the ledger; a second caller gets the same result") {
    ledger_silent_ = true;
    refuse(named);
    Submit(named);
    Run(submission_controller::kClaimTimeout + milliseconds(100));
    CHECK(Cause(0) ==
          refusal{refusal_reason::overloaded, run_outcome::unknown, "full"});
    CHECK(Cause(1) == Cause(0));
  }
  SECTION("runs elsewhere, then complete") {
    record_ = record;
    refuse(named);
    Run(milliseconds(500));
    CHECK(answers_.empty());
    StartElsewhere(named, 2);
    record_->state = ledger_state::complete;
    Run(milliseconds(2000));
    CHECK(Bodies(0).size() == 2);
  }
  SECTION("other content") {
    record.digest = "other";
    record_ = record;
    refuse(named);
    CHECK(Cause(0).reason == refusal_reason::submission_conflict);
    CHECK(Cause(0).outcome == run_outcome::unknown);
  }
  SECTION("own record of a claim that was given up") {
    Submit(named);
    Run(milliseconds(2500));
    record.owner = entry_id("e1");
    record.owner_incarnation = incarnation_id(7);
    record_ = record;
    refuse(named);
    CHECK(Cause(1).outcome == run_outcome::not_run);
    CHECK(finished_.size() == 1);
  }
  CHECK(submissions_.size() == 0);
  CHECK(net_.starts.empty());
}

// Guards against a start after a cancellation that arrived before the answer to
// the claim.
TEST_CASE_METHOD(submission_fixture,
                 "cancellation / claim under way / nothing starts") {
  const auto named = Make(3);
  Submit(named);
  const uuid id = named.tasks.front().name.submission;
  CHECK(submissions_.Cancel(id) == cancel_outcome::cancelling);
  Reply(0, claim_outcome::accepted);
  Run(milliseconds(500));
  CHECK(Cause(0).reason == refusal_reason::cancelled);
  CHECK(Cause(0).outcome == run_outcome::not_run);
  REQUIRE(finished_.size() == 1);
  CHECK(finished_[0].failure.reason == refusal_reason::cancelled);
  CHECK(submissions_.Cancel(id) == cancel_outcome::not_owned);
  CHECK(net_.starts.empty());
}

struct find_case {
  ledger_state state;
  std::size_t ended;  ///< of two tasks
  std::optional<refusal_reason> reason;
  bool running;
};

// Guards against reporting an ended submission as running.
TEST_CASE_METHOD(submission_fixture,
                 "job state / record of another entry / state and answer") {
  const auto row = GENERATE(
      find_case{ledger_state::running, 1, std::nullopt, true},
      find_case{ledger_state::complete, 2, std::nullopt, false},
      find_case{ledger_state::complete, 1, refusal_reason::answer_lost, false},
      find_case{ledger_state::failed, 0, refusal_reason::owner_lost, false});
  const auto named = Make(2);
  StartElsewhere(named, row.ended);
  ledger_record record;
  record.submission = named.tasks.front().name.submission;
  record.service = service_id("s");
  record.task_count = 2;
  record.state = row.state;
  record.failure = {refusal_reason::owner_lost, run_outcome::unknown, ""};
  record_ = record;
  bool running = false;
  submissions_.Find(record.submission,
                    [&](const std::optional<job_result>& answer) {
                      running = !answer;
                      if (answer) answers_.push_back(*answer);
                    });
  Run(milliseconds(500));
  CHECK(running == row.running);
  REQUIRE(answers_.size() == (row.running ? 0 : 1));
  if (row.reason) {
    CHECK(Cause(0).reason == *row.reason);
  } else if (!row.running) {
    CHECK(Bodies(0).size() == 2);
  }
}

// Guards against a takeover that starts tasks, loses answers, or allows late
// starts by the previous owner.
TEST_CASE_METHOD(submission_fixture,
                 "takeover / tasks ended or missing / fenced and finished") {
  const auto named = Make(4);
  const std::size_t ended = GENERATE(4U, 3U);
  StartElsewhere(named, ended);
  ledger_record record;
  record.submission = named.tasks.front().name.submission;
  record.service = service_id("s");
  record.task_count = 4;
  record.epoch = owner_epoch(2);
  record.deadline = net_.clock.WallNow() + std::chrono::seconds(4);
  submissions_.TakeOver(record);
  submissions_.TakeOver(record);
  Run(milliseconds(4000));
  REQUIRE(finished_.size() == 1);
  CHECK(finished_[0].epoch == owner_epoch(2));
  CHECK((finished_[0].state == ledger_state::complete) == (ended == 4));
  if (ended == 3) CHECK(finished_[0].failure.outcome == run_outcome::unknown);
  for (const auto& agent : net_.agents) {
    CHECK(agent->Table().Begin(named.tasks[3].name, owner_epoch(1)) !=
          start_table::begin_outcome::accepted);
  }
  CHECK(submissions_.size() == 0);
  CHECK(net_.starts.empty());
}

}  // namespace
}  // namespace almond
