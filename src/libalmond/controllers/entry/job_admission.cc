#include "libalmond/controllers/entry/job_admission.h"

#include <algorithm>

namespace almond {

void job_admission::RecordPlacement(std::int64_t core_ms) {
  placed_.emplace_back(clock_.SteadyNow(), core_ms);
  placed_core_ms_ += core_ms;
  DropOldPlacements();
}

std::optional<job_answer> job_admission::Check(const job_request& job,
                                               milliseconds critical_path,
                                               const service_backlog& backlog) {
  if (backlog.queued_core_ms == 0) return std::nullopt;
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
  const double measured = static_cast<double>(placed_core_ms_) /
                          static_cast<double>(kRateWindow.count());
  const double rate = std::max({floor, measured, 0.001});
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(backlog.queued_core_ms) / rate));
}

void job_admission::DropOldPlacements() {
  const steady_time oldest = clock_.SteadyNow() - kRateWindow;
  while (!placed_.empty() && placed_.front().first < oldest) {
    placed_core_ms_ -= placed_.front().second;
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
