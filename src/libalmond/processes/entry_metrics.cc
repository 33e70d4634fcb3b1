#include "libalmond/processes/entry_metrics.h"

namespace almond {

entry_metrics::entry_metrics(metrics_registry& registry)
    : completed_(registry.Counter("almond_tasks_completed_total")),
      failed_(registry.Counter("almond_tasks_failed_total")),
      queued_(registry.Gauge("almond_queued_tasks")),
      running_(registry.Gauge("almond_running_tasks")),
      ratio_(registry.Summary("almond_response_ratio")),
      wait_(registry.Summary("almond_wait_seconds")),
      short_wait_(registry.Summary("almond_short_wait_seconds")),
      run_(registry.Summary("almond_run_seconds")) {}

void entry_metrics::OnTaskEnd(const task_end& end) {
  if (!std::holds_alternative<task_success>(end.result)) {
    failed_.Add();
    return;
  }
  completed_.Add();
  run_.Add(end.run_time);
  wait_.Add(end.wait);
  if (end.run_time < kShortTask) short_wait_.Add(end.wait);
  if (end.run_time > duration(0)) {
    ratio_.Add(std::chrono::duration<double>(end.total) /
               std::chrono::duration<double>(end.run_time));
  }
}

void entry_metrics::Update(const dispatch_controller& dispatch) {
  queued_.Set(static_cast<double>(dispatch.Queued()));
  running_.Set(static_cast<double>(dispatch.InFlight()));
}

}  // namespace almond
