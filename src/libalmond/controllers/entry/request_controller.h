#ifndef ALMOND_CONTROLLERS_ENTRY_REQUEST_CONTROLLER_H_
#define ALMOND_CONTROLLERS_ENTRY_REQUEST_CONTROLLER_H_

#include <functional>
#include <vector>

#include "libalmond/controllers/entry/job_controller.h"
#include "libalmond/controllers/entry/retry_budget.h"
#include "libalmond/core/metrics.h"

namespace almond {

/// Runs submissions without a caller's id. Retries failed or unknown attempts
/// of idempotent single-task requests within the retry budget.
class request_controller {
 public:
  /// Limit of attempts per request, including the first.
  static constexpr std::uint32_t kMaxAttempts = 3;
  using answer_hook = job_controller::answer_hook;

  /// @param make_id creates the submission id of each further attempt
  request_controller(const clock_interface& clock, metrics_registry& metrics,
                     job_controller& jobs, std::function<uuid()> make_id)
      : clock_(clock),
        metrics_(metrics),
        jobs_(jobs),
        make_id_(std::move(make_id)) {}

  /// @param tasks of one submission
  /// @param idempotent the service's rule allows retries; applies to single
  ///   tasks only
  /// @param on_answer called once
  void Submit(std::vector<task> tasks, bool idempotent, answer_hook on_answer);

  const retry_budget& Budget() const { return budget_; }

 private:
  struct attempt {
    task work;
    std::uint32_t number = 1;
    /// First failure with an outcome other than "not run". It decides the final
    /// outcome if a later attempt did not run.
    std::optional<refusal> may_have_run;
    answer_hook on_answer;
  };

  void Run(attempt current, const agent_id& avoid);
  void OnAnswer(attempt current, const job_result& answer);
  bool MayRetry(const attempt& current, const job_failure& failed);

  const clock_interface& clock_;
  metrics_registry& metrics_;
  job_controller& jobs_;
  std::function<uuid()> make_id_;
  retry_budget budget_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_REQUEST_CONTROLLER_H_
