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

/// All results of a job, in task order.
struct job_success {
  std::vector<std::string> bodies;
};

/// A job without a whole answer.
struct job_failure {
  refusal cause;  ///< of the first task that failed
  /// Index and failure of each task that is known to have failed.
  std::vector<std::pair<std::uint32_t, refusal>> tasks;
  agent_id agent;  ///< where the first failure happened; may be empty
};

/// The end of a job; never a partial answer.
using job_result = std::variant<job_success, job_failure>;

/// @returns what is known of two attempts or tasks together: "ran" if one of
///   them ran, "not run" only if neither did
run_outcome CombineOutcomes(run_outcome left, run_outcome right);

/// Owner of the jobs that an entry runs: collects the tasks' results and
/// answers once, complete or failed.
class job_controller {
 public:
  using answer_hook = std::function<void(const job_result&)>;

  explicit job_controller(dispatch_controller& dispatch)
      : dispatch_(dispatch) {}

  /// Starts a job.
  /// @param tasks all of one submission, with the indexes 0 to n-1
  /// @param on_answer called once
  /// @param avoid agent to prefer others to; may be empty
  /// @returns false if a job of that submission runs; nothing is then started
  bool Submit(std::vector<task> tasks, answer_hook on_answer,
              const agent_id& avoid = agent_id());

  /// Cancels a job; its answer says what is known of its tasks.
  /// @returns false if no such job runs here
  bool Cancel(const uuid& submission);

  /// To be called with the end of each task.
  void OnTaskEnd(const task_end& end);

  bool Runs(const uuid& submission) const {
    return jobs_.count(submission) > 0;
  }
  std::size_t size() const { return jobs_.size(); }

 private:
  struct job {
    service_id service;
    std::vector<std::optional<task_result>> results;
    std::size_t open = 0;
    bool failing = false;
    std::optional<refusal> cause;
    agent_id failed_at;
    answer_hook on_answer;
  };

  void CancelRest(const uuid& submission, const job& failed);
  static job_result Answer(job ended);

  dispatch_controller& dispatch_;
  std::unordered_map<uuid, job> jobs_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_JOB_CONTROLLER_H_
