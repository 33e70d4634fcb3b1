#ifndef ALMOND_CONTROLLERS_ENTRY_JOB_CONTROLLER_H_
#define ALMOND_CONTROLLERS_ENTRY_JOB_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "libalmond/controllers/entry/dispatch_controller.h"
#include "libalmond/core/outcome.h"
#include "libalmond/core/task.h"

namespace almond {

/// The results of a job's tasks, in task order.
struct job_success {
  std::vector<std::string> bodies;
};

/// A job without a complete result.
struct job_failure {
  refusal cause;  ///< of the first task that failed
  /// Index and failure of each task known to have failed.
  std::vector<std::pair<std::uint32_t, refusal>> tasks;
  agent_id agent;  ///< of the first failure; may be empty
};

/// Result of a job; never partial.
using job_result = std::variant<job_success, job_failure>;

/// @returns the joint outcome of two attempts or tasks: `ran` if one of them
///   ran, `not_run` only if neither did
run_outcome CombineOutcomes(run_outcome left, run_outcome right);

/// Owns the jobs that run at an entry. Collects their tasks' results and
/// answers each job once, as succeeded or failed.
class job_controller {
 public:
  using answer_hook = std::function<void(const job_result&)>;

  explicit job_controller(dispatch_controller& dispatch)
      : dispatch_(dispatch) {}

  /// Submits the tasks of a job.
  /// @param tasks tasks of one submission with the indexes 0 to n-1
  /// @param on_answer called once
  /// @param avoid agent that gets the tasks only if no other one can; may be
  ///   empty
  /// @returns false if a job of that submission is running; then nothing is
  ///   started
  bool Submit(std::vector<task> tasks, answer_hook on_answer,
              const agent_id& avoid = agent_id());

  /// Cancels a job. Its result has the joint outcome of its tasks.
  /// @returns false if no such job is running here
  bool Cancel(const uuid& submission);

  /// Called with the end of each task.
  void OnTaskEnd(const task_end& end);

  bool Runs(const uuid& submission) const {
    return jobs_.count(submission) > 0;
  }
  std::size_t size() const { return jobs_.size(); }

 private:
  struct job {
    service_id service;
    std::vector<std::optional<task_result>> results;
    std::size_t pending = 0;
    bool failing = false;
    std::optional<refusal> cause;
    agent_id failed_at;
    answer_hook on_answer;
  };

  void CancelRemaining(const uuid& submission, const job& failed);
  static job_result MakeResult(job ended);

  dispatch_controller& dispatch_;
  std::unordered_map<uuid, job> jobs_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_JOB_CONTROLLER_H_
