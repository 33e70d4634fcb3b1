#ifndef ALMOND_CONTROLLERS_ENTRY_TASK_PLACER_H_
#define ALMOND_CONTROLLERS_ENTRY_TASK_PLACER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "libalmond/controllers/entry/endpoint_pool.h"
#include "libalmond/controllers/entry/parallel_job.h"
#include "libalmond/controllers/entry/run_queue.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/decision_log.h"
#include "libalmond/core/metrics.h"
#include "libalmond/core/run_messages.h"

namespace almond {

/// Sizes that were found not to fit during one pass over waiting tasks, so that
/// the endpoints are not searched for them again.
class unplaceable_sizes {
 public:
  bool Excludes(const service_id& service, const resources& needed) const;
  void Add(const service_id& service, std::int64_t cpu_milli) {
    smallest_cpu_[service] = cpu_milli;
  }

 private:
  std::map<service_id, std::int64_t> smallest_cpu_;
};

/// Places single tasks of parallel jobs at endpoints: sends their starts, to
/// free resources or to wait at an agent, and withdraws waiting starts.
class task_placer {
 public:
  struct hooks {
    std::function<void(link_id, const entry_run_message&)> send;
    /// @returns the job in progress, or nullptr
    std::function<parallel_job*(const job_id&)> find_job;
  };

  /// All references must outlive the placer.
  task_placer(const clock_interface& clock, decision_log& log,
              metrics_registry& metrics, endpoint_pool& endpoints,
              hooks callbacks);

  /// Sends the start of a waiting task if an endpoint takes it.
  /// @param unplaceable sizes that do not fit in this pass
  /// @returns false if the task must continue to wait
  bool TryPlace(parallel_job& current, const waiting_task& waiting,
                unplaceable_sizes& unplaceable);
  /// Withdraws a start that waits at an agent.
  void Withdraw(const parallel_job& current, std::uint32_t step_number,
                parallel_task& ordered, std::uint32_t index);
  /// Withdraws all starts of a job that wait at an agent.
  void WithdrawWaiting(parallel_job& current);
  /// Withdraws waiting starts for which resources are free elsewhere.
  void WithdrawForFreeResources();
  /// Withdraws starts that wait in evacuated data centres.
  void WithdrawFromEvacuated();

 private:
  const clock_interface& clock_;
  decision_log& log_;
  endpoint_pool& endpoints_;
  hooks hooks_;
  /// Tasks whose starts were sent to wait at an agent.
  std::set<waiting_task> waiting_orders_;
  counter& runs_placed_;
};

/// Writes a decision about a run to the log.
/// @param more further fields
void LogRun(decision_log& log, const char* event, const endpoint_key& place,
            const run_key& key, const nlohmann::json& more);

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_TASK_PLACER_H_
