#include "libalmond/controllers/entry/job_controller.h"

#include <utility>

namespace almond {

run_outcome CombineOutcomes(run_outcome left, run_outcome right) {
  if (left == run_outcome::ran || right == run_outcome::ran) {
    return run_outcome::ran;
  }
  if (left == run_outcome::unknown || right == run_outcome::unknown) {
    return run_outcome::unknown;
  }
  return run_outcome::not_run;
}

bool job_controller::Submit(std::vector<task> tasks, answer_hook on_answer,
                            const agent_id& avoid) {
  const auto [position, inserted] =
      jobs_.try_emplace(tasks.front().name.submission);
  if (!inserted) return false;
  job& started = position->second;
  started.service = tasks.front().service;
  started.results.resize(tasks.size());
  started.pending = tasks.size();
  started.on_answer = std::move(on_answer);
  dispatch_.SubmitAll(std::move(tasks), avoid);
  return true;
}

bool job_controller::Cancel(const uuid& submission) {
  const auto found = jobs_.find(submission);
  if (found == jobs_.end()) return false;
  if (found->second.failing) return true;
  found->second.failing = true;
  found->second.cause =
      refusal{refusal_reason::cancelled, run_outcome::not_run, ""};
  CancelRemaining(submission, found->second);
  return true;
}

void job_controller::OnTaskEnd(const task_end& end) {
  const uuid submission = end.work.name.submission;
  const auto found = jobs_.find(submission);
  if (found == jobs_.end()) return;
  job& running = found->second;
  auto& result = running.results.at(end.work.name.index);
  if (result) return;
  result = end.result;
  --running.pending;
  const auto* failure = std::get_if<refusal>(&end.result);
  const bool first_failure = !running.failing && failure != nullptr;
  if (first_failure) {
    running.failing = true;
    running.cause = *failure;
    running.failed_at = end.agent;
  }
  if (running.pending == 0) {
    // The hook may submit the job again, so it is removed first.
    job ended = std::move(running);
    jobs_.erase(found);
    const answer_hook on_answer = std::move(ended.on_answer);
    on_answer(MakeResult(std::move(ended)));
  } else if (first_failure) {
    CancelRemaining(submission, running);
  }
}

void job_controller::CancelRemaining(const uuid& submission,
                                     const job& failed) {
  std::vector<task_name> names;
  for (std::uint32_t index = 0; index < failed.results.size(); ++index) {
    if (!failed.results[index]) names.push_back({submission, index});
  }
  // Cancelling queued tasks calls OnTaskEnd, which may remove the job.
  const service_id service = failed.service;
  dispatch_.Cancel(service, names);
}

job_result job_controller::MakeResult(job ended) {
  job_success complete;
  job_failure failed;
  run_outcome outcome = run_outcome::not_run;
  for (std::uint32_t index = 0; index < ended.results.size(); ++index) {
    task_result& result = *ended.results[index];
    if (auto* success = std::get_if<task_success>(&result)) {
      complete.bodies.push_back(std::move(success->body));
      outcome = run_outcome::ran;
      continue;
    }
    const auto& failure = std::get<refusal>(result);
    outcome = CombineOutcomes(outcome, failure.outcome);
    failed.tasks.emplace_back(index, failure);
  }
  // A cancellation after all tasks have succeeded has no effect.
  if (failed.tasks.empty()) return complete;
  failed.cause = *ended.cause;
  failed.cause.outcome = outcome;
  failed.agent = ended.failed_at;
  return failed;
}

}  // namespace almond
