#include "libalmond/controllers/entry/job_controller.h"

#include <utility>

namespace almond {
namespace {

// A job has run if any of its tasks did; it is "not run" only if all are.
run_outcome Combine(run_outcome left, run_outcome right) {
  if (left == run_outcome::ran || right == run_outcome::ran) {
    return run_outcome::ran;
  }
  if (left == run_outcome::unknown || right == run_outcome::unknown) {
    return run_outcome::unknown;
  }
  return run_outcome::not_run;
}

}  // namespace

void job_controller::Submit(std::vector<task> tasks, answer_hook on_answer) {
  job& started = jobs_[tasks.front().name.submission];
  started.results.resize(tasks.size());
  started.open = tasks.size();
  started.on_answer = std::move(on_answer);
  for (task& work : tasks) dispatch_.Submit(std::move(work));
}

bool job_controller::Cancel(const uuid& submission) {
  const auto found = jobs_.find(submission);
  if (found == jobs_.end()) return false;
  found->second.failing = true;
  CancelRest(submission, found->second);
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
  --running.open;
  const bool first_failure =
      !running.failing && std::holds_alternative<refusal>(end.result);
  if (running.open == 0) {
    // The hook may submit again, so the job is removed first.
    const job ended = std::move(running);
    jobs_.erase(found);
    ended.on_answer(Answer(ended));
  } else if (first_failure) {
    running.failing = true;
    CancelRest(submission, running);
  }
}

void job_controller::CancelRest(const uuid& submission, const job& failed) {
  std::vector<task_name> names;
  for (std::uint32_t index = 0; index < failed.results.size(); ++index) {
    if (!failed.results[index]) names.push_back({submission, index});
  }
  // Ends of queued tasks come back into OnTaskEnd and may remove the job.
  dispatch_.Cancel(names);
}

job_answer job_controller::Answer(const job& ended) {
  job_complete complete;
  job_failed failed;
  bool any_ran = false;
  for (std::uint32_t index = 0; index < ended.results.size(); ++index) {
    const task_result& result = *ended.results[index];
    if (const auto* success = std::get_if<task_success>(&result)) {
      complete.bodies.push_back(success->body);
      any_ran = true;
      continue;
    }
    failed.tasks.emplace_back(index, std::get<refusal>(result));
  }
  if (failed.tasks.empty()) return complete;
  // Cancelled tasks are a consequence; the cause is what failed by itself.
  failed.cause = failed.tasks.front().second;
  run_outcome outcome = any_ran ? run_outcome::ran : run_outcome::not_run;
  for (const auto& [index, failure] : failed.tasks) {
    outcome = Combine(outcome, failure.outcome);
    if (failed.cause.reason == refusal_reason::cancelled) {
      failed.cause = failure;
    }
  }
  failed.cause.outcome = outcome;
  return failed;
}

}  // namespace almond
