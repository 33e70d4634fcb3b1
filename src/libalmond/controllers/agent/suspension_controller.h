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

/// Owner of the running and suspended tasks of one endpoint, with the slots and
/// resources that they hold. Pauses aged tasks while new work waits and resumes
/// them, first paused first, when a slot is idle.
class suspension_controller {
 public:
  /// Time that a resumed task runs at least, so that a swing of the demand
  /// does not turn into a pause and a resume for each short task.
  static constexpr milliseconds kMinStint{100};
  /// Time to the next try of a control request that did not succeed.
  static constexpr milliseconds kRetry{1000};

  /// A request to send to the endpoint; its end is told by OnControlResult.
  struct action {
    run_id run;
    task_control control = task_control::pause;
  };

  suspension_controller(const clock_interface& clock, slot_controller& slots,
                        suspension_policy policy)
      : clock_(clock), slots_(slots), policy_(std::move(policy)) {}

  /// @param controls what the endpoint offers
  /// @param cpu_milli thousandths of a core; 0 means no limit
  /// @param memory_mib mebibytes; 0 means no limit
  void SetEndpoint(const endpoint_controls& controls, std::uint32_t cpu_milli,
                   std::uint32_t memory_mib);
  /// Drops all tasks, whose endpoint has been replaced by another.
  void Reset();

  /// @returns true if the task fits beside those that hold resources
  bool Fits(const task_size& size) const { return resources_.Fits(size); }
  /// @returns true if the task fits the endpoint at all
  bool FitsEmpty(const task_size& size) const {
    return resources_.FitsEmpty(size);
  }
  /// @returns true if the cap on long tasks refuses a start of that kind; only
  ///   on an endpoint without pause
  bool Capped(const request_kind& kind) const;
  /// @returns true if a free slot could not be used, for lack of resources
  bool Exhausted() const { return resources_.Exhausted(); }

  /// Adds a task that has taken a slot.
  void Add(run_id run, const request_kind& kind, const task_size& size);
  /// Removes a task that has ended, and frees what it held.
  /// @returns its run time without suspensions, or nothing if it is not known
  ///   here (its endpoint was replaced)
  std::optional<milliseconds> Remove(run_id run);
  /// Takes the end of a control request; ignored for a task that has ended.
  void OnControlResult(run_id run, task_control control,
                       task_control_result result);

  /// Decides on pauses, resumes and checkpoints, and takes the slots of resumed
  /// tasks. Costs the number of tasks.
  std::vector<action> Decide();

  /// @returns idle slots that suspended tasks wait for
  std::uint32_t WantedSlots() const;
  /// @returns tasks paused or checkpointed
  std::uint32_t Suspended() const;
  /// @returns aged tasks that hold a slot
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
    bool calling = false;  ///< a control request is on its way
    bool aged = false;
    bool keeps_memory = false;  ///< a checkpoint did not succeed
    duration run_before{0};     ///< run time of ended stints
    steady_time stint_start;
    steady_time retry_at;
    std::uint64_t pause_order = 0;
  };
  using run_map = std::map<run_id, run_record>;

  static bool OnSlot(run_state state);
  static bool Waiting(run_state state);
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
  std::uint64_t pauses_ = 0;
  /// Mean memory of started tasks in mebibytes, by which room for new work is
  /// judged.
  double typical_memory_ = 0;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_SUSPENSION_CONTROLLER_H_
