#include "libalmond/controllers/entry/service_load.h"

#include <algorithm>

namespace almond {
namespace {

/// Part of the time left that the expected wait may take, the submission's own
/// tasks included. The rest covers the error of the measured rate: a task that
/// starts just before its deadline takes a slot and still fails its caller.
constexpr double kWaitShare = 0.8;

/// Part of the time left that work queued before may take. A longer queue gives
/// no more goodput, and takes longer to drain after a peak: with 5 s timeouts
/// and a return to 0.3 of the capacity, 1 s of queue drains in 1.4 s.
constexpr double kQueueShare = 0.2;

}  // namespace

duration ExpectedWait(const service_load& load, std::size_t tasks) {
  if (!load.per_second || *load.per_second <= 0) return duration(0);
  // Other teams' tasks delay this team's by at most their share of the rate.
  const auto all = static_cast<double>(load.queued + tasks);
  const double own = static_cast<double>(load.team_queued + tasks) /
                     std::max(load.team_share, 1e-3);
  const double ahead =
      std::max(std::min(all, own) - static_cast<double>(load.grants), 0.0);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(ahead / *load.per_second));
}

bool CanMeetDeadline(const service_load& load, std::size_t tasks,
                     duration time_left) {
  const std::chrono::duration<double> wait = ExpectedWait(load, tasks);
  if (wait.count() <= 0) return true;
  const std::chrono::duration<double> usable = time_left - load.run_time_p90;
  const std::chrono::duration<double> queue = ExpectedWait(load, 0);
  return wait <= kWaitShare * usable && queue <= kQueueShare * usable;
}

}  // namespace almond
