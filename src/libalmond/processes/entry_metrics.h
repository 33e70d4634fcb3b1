#ifndef ALMOND_PROCESSES_ENTRY_METRICS_H_
#define ALMOND_PROCESSES_ENTRY_METRICS_H_

#include "libalmond/controllers/entry/dispatch_controller.h"
#include "libalmond/core/metrics.h"

namespace almond {

/// Task metrics of one entry. Holds references, so that the registry is not
/// searched for each task.
class entry_metrics {
 public:
  /// Run time below which a task counts as short.
  static constexpr milliseconds kShortTask{1000};

  explicit entry_metrics(metrics_registry& registry);

  /// Records a task that has ended.
  void OnTaskEnd(const task_end& end);
  /// Sets the gauges from the dispatch controller's state.
  void Update(const dispatch_controller& dispatch);

 private:
  counter& completed_;
  counter& failed_;
  gauge& queued_;
  gauge& running_;
  summary& ratio_;
  summary& wait_;
  summary& short_wait_;
  summary& run_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_ENTRY_METRICS_H_
