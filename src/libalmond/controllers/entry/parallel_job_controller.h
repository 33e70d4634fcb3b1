#ifndef ALMOND_CONTROLLERS_ENTRY_PARALLEL_JOB_CONTROLLER_H_
#define ALMOND_CONTROLLERS_ENTRY_PARALLEL_JOB_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "libalmond/config/route_config.h"
#include "libalmond/controllers/entry/endpoint_pool.h"
#include "libalmond/controllers/entry/job_admission.h"
#include "libalmond/controllers/entry/parallel_job.h"
#include "libalmond/controllers/entry/run_queue.h"
#include "libalmond/controllers/entry/task_placer.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/decision_log.h"
#include "libalmond/core/job_messages.h"
#include "libalmond/core/metrics.h"
#include "libalmond/core/run_messages.h"

namespace almond {

/// Owns the parallel jobs in progress at an entry: admits them, places their
/// tasks at endpoints, restarts runs and answers the callers.
class parallel_job_controller {
 public:
  static constexpr milliseconds kTickPeriod{20};
  /// Time for which runs may continue after the link to their agent has ended.
  /// Within it the agent detects the loss and stops them, or their lease
  /// expires.
  static constexpr milliseconds kInDoubtPeriod{900};
  /// Increment of the run number after an endpoint refused a run as superseded,
  /// because an earlier attempt at another entry has used higher numbers.
  static constexpr std::uint32_t kRunNumberStep = 16;
  /// A task counts as able to meet its objective only if there is time for this
  /// multiple of its estimate, as estimates are rough.
  static constexpr double kEstimateMarginFactor = 1.3;
  /// Share of a job's objective after which the job is refused if it has not
  /// started. It can hardly meet the objective any more and would delay other
  /// jobs; its caller does better to retry.
  static constexpr double kMaxStartDelayRatio = 0.6;
  /// Time after the process start during which agents may not have connected
  /// yet; jobs wait for endpoints instead of being refused.
  static constexpr milliseconds kStartupGracePeriod{800};
  /// Retry-after time of a refusal when the expected wait is unknown.
  static constexpr milliseconds kDefaultRetryAfter{1000};

  struct hooks {
    std::function<void(link_id, const entry_run_message&)> send;
  };
  using answer_hook = parallel_job::answer_hook;

  /// All references must outlive the controller.
  parallel_job_controller(const clock_interface& clock, decision_log& log,
                          metrics_registry& metrics, endpoint_pool& endpoints,
                          hooks callbacks);

  /// Admits or refuses a job. If a job with this id is in progress, the caller
  /// is added to it and no second job is started.
  /// @param on_answer called once, unless the caller is removed before the job
  ///   is answered
  /// @returns the caller's id for RemoveCaller
  caller_id Submit(const route& rule, const job_request& request,
                   answer_hook on_answer);
  /// Removes a disconnected caller. A job without callers is ended.
  void RemoveCaller(const job_id& job, caller_id caller);

  void OnEndpointState(link_id link, const endpoint_state& state);
  /// To be called after endpoint_pool::SetEvacuations. Withdraws starts that
  /// wait in evacuated data centres and places them elsewhere.
  void OnEvacuations();
  void OnRunEnd(link_id link, const run_end& end);
  void OnLinkClosed(link_id link);
  /// Called every kTickPeriod.
  void Tick();
  /// Answers all remaining jobs at the end of the process.
  void InterruptAll();

  /// @returns number of jobs in progress
  std::size_t JobCount() const { return jobs_.size(); }
  /// @returns number of tasks waiting to be placed
  std::size_t Queued() const { return queue_.size(); }

 private:
  void Admit(const route& rule, const job_request& request, caller_id caller,
             answer_hook on_answer);
  std::optional<job_answer> CheckAdmission(const route& rule,
                                           const job_request& request,
                                           milliseconds critical_path);
  void ReleaseSteps(parallel_job& current);
  void Enqueue(parallel_job& current, std::uint32_t step_number,
               std::uint32_t index);
  void Dequeue(parallel_job& current);
  static run_urgency Urgency(const parallel_job& current,
                             const parallel_step& current_step);
  void MarkStarted(parallel_job& current);
  void Dispatch();
  void RetryRun(parallel_job& current, const run_key& key);
  void OnTaskDone(parallel_job& current, const run_key& key);
  void OnTaskFailed(parallel_job& current, const run_key& key,
                    const endpoint_id& endpoint);
  /// @returns true if the job is to be refused now
  bool RefusesLateStart(parallel_job& current, steady_time now);
  job_answer TimeoutAnswer(const parallel_job& current) const;
  void End(const job_id& id, const job_answer& answer);
  parallel_job* FindJob(const job_id& id);
  service_backlog ServiceBacklog(const service_id& service) const;

  const clock_interface& clock_;
  decision_log& log_;
  metrics_registry& metrics_;
  endpoint_pool& endpoints_;
  hooks hooks_;
  steady_time started_at_;
  job_admission admission_;
  task_placer placer_;
  run_queue queue_;
  std::unordered_map<job_id, std::unique_ptr<parallel_job>> jobs_;
  std::map<service_id, milliseconds> queued_cpu_time_;
  caller_id last_caller_;
  bool dispatching_ = false;
  counter& complete_;
  counter& failed_;
  counter& refused_;
  counter& timed_out_;
  counter& callers_left_;
  counter& runs_retried_;
  summary& job_seconds_;
  summary& wait_seconds_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_PARALLEL_JOB_CONTROLLER_H_
