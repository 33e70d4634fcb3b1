#include "libalmond/controllers/entry/request_controller.h"

#include <utility>

namespace almond {
namespace {

bool IsRetryable(refusal_reason reason) {
  return reason == refusal_reason::task_failed ||
         reason == refusal_reason::endpoint_lost ||
         reason == refusal_reason::agent_lost;
}

}  // namespace

void request_controller::Submit(std::vector<task> tasks, bool idempotent,
                                answer_hook on_answer) {
  budget_.OnRequest();
  if (!idempotent || tasks.size() != 1) {
    jobs_.Submit(std::move(tasks), std::move(on_answer));
    return;
  }
  attempt first;
  first.work = std::move(tasks.front());
  first.on_answer = std::move(on_answer);
  Run(std::move(first), agent_id());
}

void request_controller::Run(attempt current, const agent_id& avoid) {
  std::vector<task> tasks = {current.work};
  jobs_.Submit(
      std::move(tasks),
      [this, current = std::move(current)](const job_result& answer) {
        OnAnswer(current, answer);
      },
      avoid);
}

void request_controller::OnAnswer(attempt current, const job_result& answer) {
  const auto* failed = std::get_if<job_failure>(&answer);
  if (failed == nullptr) {
    current.on_answer(answer);
    return;
  }
  if (failed->cause.outcome != run_outcome::not_run && !current.may_have_run) {
    current.may_have_run = failed->cause;
  }
  if (MayRetry(current, *failed)) {
    ++current.number;
    current.work.name.submission = make_id_();
    Run(std::move(current), failed->agent);
    return;
  }
  job_failure last = *failed;
  if (current.may_have_run) {
    const run_outcome outcome =
        CombineOutcomes(current.may_have_run->outcome, last.cause.outcome);
    // The reason of an attempt that did not run would contradict the combined
    // outcome.
    if (last.cause.outcome == run_outcome::not_run) {
      last.cause = *current.may_have_run;
    }
    last.cause.outcome = outcome;
  }
  current.on_answer(last);
}

bool request_controller::MayRetry(const attempt& current,
                                  const job_failure& failed) {
  if (!IsRetryable(failed.cause.reason) || current.number >= kMaxAttempts ||
      current.work.deadline <= clock_.SteadyNow() || !budget_.Take()) {
    return false;
  }
  metrics_
      .Retries(failed.cause.outcome == run_outcome::ran
                   ? retry_reason::task_failed
                   : retry_reason::outcome_unknown)
      .Add();
  return true;
}

}  // namespace almond
