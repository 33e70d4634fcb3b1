#include "libalmond/controllers/entry/service_load.h"

#include <algorithm>

namespace almond {
namespace {

/// Share of the remaining time that the expected wait may take, including the
/// submission's own tasks. The rest covers the error of the measured rate: a
/// task that starts just before its deadline takes a slot and still fails its
/// caller.
constexpr double kMaxWaitRatio = 0.8;

/// Share of the remaining time that work queued earlier may take. A longer
/// queue gives no more goodput and drains more slowly after a peak: with 5 s
/// timeouts and a return to 0.3 of the capacity, 1 s of queue drains in 1.4 s.
constexpr double kMaxQueueRatio = 0.2;

}  // namespace

duration ExpectedWait(const service_load& load, std::size_t tasks) {
  if (!load.tasks_per_second || *load.tasks_per_second <= 0) return duration(0);
  // Other teams delay this team's tasks by at most their share of the rate.
  const auto total_tasks = static_cast<double>(load.queued + tasks);
  const double team_tasks = static_cast<double>(load.team_queued + tasks) /
                            std::max(load.team_share, 1e-3);
  const double tasks_ahead = std::max(
      std::min(total_tasks, team_tasks) - static_cast<double>(load.grants),
      0.0);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(tasks_ahead / *load.tasks_per_second));
}

bool CanMeetDeadline(const service_load& load, std::size_t tasks,
                     duration time_left) {
  const std::chrono::duration<double> wait = ExpectedWait(load, tasks);
  if (wait.count() <= 0) return true;
  const std::chrono::duration<double> usable = time_left - load.run_time_p90;
  const std::chrono::duration<double> queue_wait = ExpectedWait(load, 0);
  return wait <= kMaxWaitRatio * usable &&
         queue_wait <= kMaxQueueRatio * usable;
}

}  // namespace almond
