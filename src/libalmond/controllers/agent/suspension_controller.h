#ifndef ALMOND_CONTROLLERS_AGENT_SUSPENSION_CONTROLLER_H_
#define ALMOND_CONTROLLERS_AGENT_SUSPENSION_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libalmond/controllers/agent/long_kind_detector.h"
#include "libalmond/controllers/agent/resource_account.h"
#include "libalmond/controllers/agent/slot_controller.h"
#include "libalmond/controllers/agent/suspension_policy.h"
#include "libalmond/controllers/agent/task_control.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/dispatch_messages.h"

namespace almond {

/// Manages the running and suspended tasks of one endpoint, and the slots and
/// resources that they hold. Pauses aged tasks, which have run for longer than
/// suspension_policy::suspend_after, while new tasks wait, and resumes them in
/// the order of their pauses when slots are idle.
class suspension_controller {
 public:
  /// Minimum run time after a resume, so that fluctuating demand does not cause
  /// a pause and a resume for each short task.
  static constexpr milliseconds kMinTimeSlice{100};
  /// Time after which a failed control request is retried.
  static constexpr milliseconds kControlRetryPeriod{1000};

  /// A control request to send to the endpoint; its result is passed to
  /// OnControlResult.
  struct action {
    run_id run;
    task_control control = task_control::pause;
  };

  suspension_controller(const clock_interface& clock, slot_controller& slots,
                        suspension_policy policy)
      : clock_(clock), slots_(slots), policy_(std::move(policy)) {}

  /// @param controls control requests that the endpoint supports
  /// @param cpu_milli thousandths of a core; 0 means no limit
  /// @param memory_mib mebibytes; 0 means no limit
  void SetEndpoint(const endpoint_controls& controls, std::uint32_t cpu_milli,
                   std::uint32_t memory_mib);
  /// Drops all tasks, after the endpoint was replaced.
  void Reset();

  /// @returns true if the task fits into the unused resources
  bool Fits(const task_size& size) const { return resources_.Fits(size); }
  /// @returns true if the task fits into the total resources of the endpoint
  bool FitsEmptyEndpoint(const task_size& size) const {
    return resources_.FitsEmptyEndpoint(size);
  }
  /// @returns true if a start of that kind is refused, because long tasks hold
  ///   too many slots; only for endpoints that cannot pause tasks
  bool LongKindCapReached(const request_kind& kind) const;
  /// @returns true if a free slot cannot be used for lack of resources
  bool ResourcesExhausted() const { return resources_.Exhausted(); }

  /// Adds a started task, which already holds a slot.
  void Add(run_id run, const request_kind& kind, const task_size& size);
  /// Removes an ended task and releases its slot and resources.
  /// @returns its run time without suspensions, or nothing if the task is
  ///   unknown, since its endpoint was replaced
  std::optional<milliseconds> Remove(run_id run);
  /// Handles the result of a control request; ignored if the task has ended.
  void OnControlResult(run_id run, task_control control,
                       task_control_result result);

  /// Decides which tasks to pause, resume and checkpoint, and takes the slots
  /// of resumed tasks. Takes time proportional to the number of tasks.
  std::vector<action> Decide();

  /// @returns number of idle slots needed to resume suspended tasks
  std::uint32_t WantedSlots() const;
  /// @returns number of tasks that are paused or checkpointed
  std::uint32_t Suspended() const;
  /// @returns number of aged tasks that hold a slot and are not being paused
  std::uint32_t AgedOnSlot() const;
  const resource_account& Resources() const { return resources_; }

 private:
  enum class run_state : std::uint8_t {
    running,
    pausing,
    suspended,
    checkpointing,
    checkpointed,
    resuming
  };
  struct run_record {
    run_state state = run_state::running;
    request_kind kind;
    task_size size;
    bool control_in_flight = false;  ///< a control request awaits its result
    bool aged = false;
    /// If true, the task is not checkpointed again; it keeps its memory.
    bool checkpoint_failed = false;
    duration previous_run_time{0};  ///< run time of ended time slices
    steady_time time_slice_start;
    steady_time retry_at;
    std::uint64_t pause_order = 0;
  };
  using run_map = std::map<run_id, run_record>;

  static bool HoldsSlot(run_state state);
  static bool IsSuspended(run_state state);
  duration RunTime(const run_record& run) const;
  void MarkAged();
  void Resume(std::vector<action>& actions);
  void RetryResumes(std::vector<action>& actions);
  void Pause(std::vector<action>& actions);
  void Checkpoint(std::vector<action>& actions);
  run_map::value_type* NextToResume();
  run_map::value_type* NextToPause();
  std::uint32_t Count(run_state state) const;
  void Suspend(run_record& run);
  void OnPauseEnd(run_record& run, task_control_result result);
  void OnResumeEnd(run_record& run, task_control_result result);
  void OnCheckpointEnd(run_record& run, task_control_result result);

  const clock_interface& clock_;
  slot_controller& slots_;
  suspension_policy policy_;
  endpoint_controls controls_;
  resource_account resources_;
  long_kind_detector kinds_;
  run_map runs_;
  std::uint64_t pause_count_ = 0;
  /// Moving average of the declared memory of started tasks in mebibytes;
  /// estimates the memory needed by the next task.
  double mean_memory_mib_ = 0;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_SUSPENSION_CONTROLLER_H_
