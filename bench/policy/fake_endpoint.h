#ifndef ALMOND_BENCH_POLICY_FAKE_ENDPOINT_H_
#define ALMOND_BENCH_POLICY_FAKE_ENDPOINT_H_

#include <functional>
#include <map>

#include "bench/policy/virtual_time.h"
#include "libalmond/controllers/agent/task_control.h"

namespace almond::bench {

/// An endpoint in virtual time that runs tasks of given run times and can pause
/// and resume them.
class fake_endpoint {
 public:
  /// Duration of a call between agent and endpoint on one machine.
  static constexpr duration kCallDuration = std::chrono::microseconds(100);

  explicit fake_endpoint(virtual_time& time) : time_(time) {}

  /// @param run id of the run
  /// @param length run time without pauses
  /// @param on_end called when the task ends
  void Start(run_id run, duration length, std::function<void()> on_end) {
    time_.After(kCallDuration, [this, run, length, on_end = std::move(on_end)] {
      task& started = tasks_[run];
      started.remaining = length;
      started.on_end = on_end;
      Run(run, started);
    });
  }

  /// @param on_done called with true if the task exists
  void Control(run_id run, task_control control,
               std::function<void(bool)> on_done) {
    time_.After(
        kCallDuration, [this, run, control, on_done = std::move(on_done)] {
          const auto found = tasks_.find(run);
          if (found != tasks_.end()) Apply(run, found->second, control);
          const bool done = found != tasks_.end();
          time_.After(kCallDuration, [on_done, done] { on_done(done); });
        });
  }

 private:
  struct task {
    duration remaining{0};
    steady_time resumed_at;
    /// Incremented by each pause and each run, so that the end event scheduled
    /// before a pause has no effect.
    std::uint64_t run_sequence = 0;
    bool running = false;
    std::function<void()> on_end;
  };

  void Apply(run_id run, task& changed, task_control control) {
    if (control == task_control::pause && changed.running) {
      changed.running = false;
      ++changed.run_sequence;
      changed.remaining -= time_.Now() - changed.resumed_at;
    } else if (control == task_control::resume && !changed.running) {
      Run(run, changed);
    }
  }

  void Run(run_id run, task& started) {
    started.running = true;
    started.resumed_at = time_.Now();
    const std::uint64_t run_sequence = ++started.run_sequence;
    time_.After(started.remaining, [this, run, run_sequence] {
      const auto found = tasks_.find(run);
      if (found == tasks_.end() || found->second.run_sequence != run_sequence) {
        return;
      }
      const auto on_end = std::move(found->second.on_end);
      tasks_.erase(found);
      time_.After(kCallDuration, on_end);
    });
  }

  virtual_time& time_;
  std::map<run_id, task> tasks_;
};

}  // namespace almond::bench

#endif  // ALMOND_BENCH_POLICY_FAKE_ENDPOINT_H_
