#ifndef ALMOND_CONTROLLERS_ENTRY_PARALLEL_JOB_CONTROLLER_H_
#define ALMOND_CONTROLLERS_ENTRY_PARALLEL_JOB_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "libalmond/config/route_config.h"
#include "libalmond/controllers/entry/endpoint_pool.h"
#include "libalmond/controllers/entry/job_admission.h"
#include "libalmond/controllers/entry/run_queue.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/decision_log.h"
#include "libalmond/core/job_messages.h"
#include "libalmond/core/metrics.h"
#include "libalmond/core/run_messages.h"

namespace almond {

/// Names one caller that waits for a job.
using caller_id = typed_number<struct caller_tag>;

/// The jobs in progress at one entry: takes them in, places their tasks at
/// endpoints, runs tasks again, and answers their callers.
class parallel_job_controller {
 public:
  static constexpr milliseconds kTickPeriod{20};
  /// After the end of an agent's link its runs may go on for so long: the agent
  /// stops them when it finds the silence, or the lease runs out without it.
  static constexpr milliseconds kDoubtPeriod{900};
  /// Step of the run number after an endpoint refused a run as superseded: an
  /// earlier try at another entry has used higher numbers.
  static constexpr std::uint32_t kRunStep = 16;
  /// Estimates are rough: a task counts as able to meet its objective only if
  /// it could take so many times its estimate.
  static constexpr double kEstimateMargin = 1.3;
  /// A job that has waited for this share of its objective without a start is
  /// refused: it can hardly meet its objective any more, and would only make
  /// others late, so its caller does better to come again.
  static constexpr double kPatience = 0.6;
  /// Time after the start in which the entry may not have heard of its agents
  /// yet; jobs wait for them instead of being refused.
  static constexpr milliseconds kLearningPeriod{800};
  /// Longest time for which a refused caller is told to stay away, if the
  /// expected wait is not known.
  static constexpr milliseconds kRetryAfterUnknown{1000};

  struct hooks {
    std::function<void(link_id, const entry_run_message&)> send;
  };
  using answer_hook = std::function<void(const job_answer&)>;

  /// All references outlive the controller.
  parallel_job_controller(const clock_interface& clock, decision_log& log,
                          metrics_registry& metrics, endpoint_pool& endpoints,
                          hooks callbacks);

  /// Takes a job in or refuses it. A job that is in progress here already gets
  /// another caller.
  /// @param on_answer called once, unless the caller leaves before
  /// @returns the caller, for Leave
  caller_id Submit(const route& rule, const job_request& request,
                   answer_hook on_answer);
  /// A caller has left. Without callers the job ends.
  void RemoveCaller(const job_id& job, caller_id caller);

  void OnEndpointState(link_id link, const endpoint_state& state);
  void OnRunEnd(link_id link, const run_end& end);
  void OnLinkClosed(link_id link);
  /// To be called each kTickPeriod.
  void Tick();
  /// Answers all jobs that are left, when the process ends.
  void InterruptAll();

  /// @returns number of jobs in progress
  std::size_t JobCount() const { return jobs_.size(); }
  /// @returns number of tasks that wait for room
  std::size_t Queued() const { return queue_.size(); }

 private:
  enum class task_phase : std::uint8_t {
    blocked,   ///< waits for an earlier step
    waiting,   ///< in the queue
    placed,    ///< ordered at an endpoint
    doubtful,  ///< its agent is gone; may still run
    done
  };
  struct task {
    task_phase phase = task_phase::blocked;
    std::uint32_t run = 0;
    std::uint32_t failures = 0;
    endpoint_key place;
    bool waits = false;  ///< ordered where there was no room at once
    bool withdrawn = false;
    steady_time doubt_end;
    std::vector<endpoint_id> failed_at;
  };
  struct step {
    job_step plan;
    std::vector<task> tasks;
    std::uint32_t open = 0;  ///< tasks that are not done
    steady_time latest_start;
  };
  struct job {
    job_request request;
    service_id service;
    std::string route_name;
    std::uint32_t max_attempts = 1;
    std::uint32_t priority = 0;
    std::uint32_t open_steps = 0;
    steady_time arrived;
    steady_time deadline;
    /// Runs that were ordered and not refused as not run; while there is none,
    /// the job has not run.
    std::uint32_t possible_runs = 0;
    /// A task was ordered where there was room, or is done.
    bool working = false;
    steady_time patience_end;  ///< see kPatience
    /// No more orders are sent; refused once all have gone back as not run.
    bool giving_up = false;
    std::vector<step> steps;
    std::map<caller_id, answer_hook> callers;
  };

  void Admit(const route& rule, const job_request& request, caller_id caller,
             answer_hook on_answer);
  std::optional<job_answer> Refusal(const route& rule,
                                    const job_request& request,
                                    milliseconds chain);
  void ReleaseSteps(job& entry);
  void Enqueue(job& entry, std::uint32_t step_number, std::uint32_t index);
  void Dequeue(job& entry);
  static run_urgency Urgency(const job& entry, const step& part);
  void MarkWorking(job& entry);
  void Dispatch();
  void WithdrawWaiting();
  /// @param too_large least processor need for which a service has no room
  bool TryPlace(const waiting_task& waiting,
                std::map<service_id, std::int64_t>& too_large);
  void Again(job& entry, const run_key& key);
  void TaskDone(job& entry, const run_key& key);
  void TaskFailed(job& entry, const run_key& key, const endpoint_id& endpoint);
  /// @returns true if the job is to be refused now
  bool GivesUp(job& entry, steady_time now);
  void Withdraw(job& entry, std::uint32_t step_number, std::uint32_t index);
  job_answer TimeoutAnswer(const job& entry) const;
  void End(const job_id& id, const job_answer& answer);
  void LogRun(const char* event, const endpoint_key& place, const run_key& key,
              const nlohmann::json& more);
  job* Find(const job_id& id);
  service_backlog Backlog(const service_id& service) const;

  const clock_interface& clock_;
  decision_log& log_;
  metrics_registry& metrics_;
  endpoint_pool& endpoints_;
  hooks hooks_;
  steady_time started_;
  job_admission admission_;
  run_queue queue_;
  std::unordered_map<job_id, std::unique_ptr<job>> jobs_;
  std::map<service_id, std::int64_t> queued_core_ms_;
  /// Tasks that were ordered where there was no room at once.
  std::set<waiting_task> ordered_to_wait_;
  caller_id last_caller_;
  bool dispatching_ = false;
  counter& complete_;
  counter& failed_;
  counter& refused_;
  counter& timed_out_;
  counter& left_;
  counter& placed_;
  counter& again_;
  summary& job_seconds_;
  summary& wait_seconds_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_PARALLEL_JOB_CONTROLLER_H_
