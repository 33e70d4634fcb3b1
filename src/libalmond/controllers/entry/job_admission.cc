#include "libalmond/controllers/entry/job_admission.h"

#include <algorithm>

namespace almond {

void job_admission::RecordPlacement(milliseconds cpu_time) {
  placed_.emplace_back(clock_.SteadyNow(), cpu_time);
  placed_cpu_time_ += cpu_time;
  DropOldPlacements();
}

std::optional<job_answer> job_admission::Check(const job_request& job,
                                               milliseconds critical_path,
                                               const service_backlog& backlog) {
  if (backlog.queued_cpu_time == milliseconds(0)) return std::nullopt;
  const milliseconds wait = ExpectedWait(backlog);
  const auto needed =
      std::chrono::duration<double, std::milli>(wait + critical_path);
  if (needed <= job.timeout * kToleranceFactor) return std::nullopt;
  return job_answer{job_outcome::overloaded, refusal_reason::overloaded,
                    std::max(kMinRetryAfter, wait)};
}

milliseconds job_admission::ExpectedWait(const service_backlog& backlog) {
  DropOldPlacements();
  // CPU time that this entry places per millisecond.
  const double floor =
      kMinCapacityRatio * static_cast<double>(backlog.total_cpu_milli) / 1000;
  const double measured = static_cast<double>(placed_cpu_time_.count()) /
                          static_cast<double>(kRateWindow.count());
  const double rate = std::max({floor, measured, 0.001});
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(backlog.queued_cpu_time.count()) / rate));
}

void job_admission::DropOldPlacements() {
  const steady_time oldest = clock_.SteadyNow() - kRateWindow;
  while (!placed_.empty() && placed_.front().first < oldest) {
    placed_cpu_time_ -= placed_.front().second;
    placed_.pop_front();
  }
}

milliseconds CriticalPath(const std::vector<job_step>& steps) {
  std::vector<milliseconds> ends;
  milliseconds longest{0};
  for (const job_step& step : steps) {
    milliseconds start{0};
    for (const std::uint32_t earlier : step.dependencies) {
      if (earlier < ends.size()) start = std::max(start, ends[earlier]);
    }
    ends.push_back(start + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

}  // namespace almond
