#ifndef ALMOND_CONTROLLERS_ENTRY_JOB_ADMISSION_H_
#define ALMOND_CONTROLLERS_ENTRY_JOB_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "libalmond/core/clock.h"
#include "libalmond/core/job_messages.h"

namespace almond {

/// Load of a service at the arrival of a job.
struct service_backlog {
  std::int64_t total_cpu_milli = 0;   ///< of all accepting endpoints
  std::int64_t unused_cpu_milli = 0;  ///< unused part of the total
  /// CPU time of this entry's queued tasks, on one core.
  milliseconds queued_cpu_time{0};
};

/// Refuses jobs that cannot end within their callers' timeouts. During an
/// overload that lasts longer than callers wait, such a job is refused on
/// arrival, so that its caller can react, and the queue holds only jobs that
/// can still be served in time.
class job_admission {
 public:
  /// Window over which this entry's placement rate is measured.
  static constexpr milliseconds kRateWindow{1000};
  /// Share of the service's capacity that this entry assumes for itself while
  /// its measured rate is lower.
  static constexpr double kMinCapacityRatio = 0.05;
  /// A job is refused only if the expected time exceeds the caller's timeout
  /// by this factor, as the estimate of the wait is rough.
  static constexpr double kToleranceFactor = 1.2;
  static constexpr milliseconds kMinRetryAfter{100};

  explicit job_admission(const clock_interface& clock) : clock_(clock) {}

  /// Counts a placed task.
  /// @param cpu_time expected CPU time of the task, on one core
  void RecordPlacement(milliseconds cpu_time);

  /// @param critical_path critical path of the job, see CriticalPath
  /// @returns the refusal, or nothing if the job may be queued
  std::optional<job_answer> Check(const job_request& job,
                                  milliseconds critical_path,
                                  const service_backlog& backlog);
  /// @returns the expected time until all tasks queued now have been placed
  milliseconds ExpectedWait(const service_backlog& backlog);

 private:
  void DropOldPlacements();

  const clock_interface& clock_;
  std::deque<std::pair<steady_time, milliseconds>> placed_;
  milliseconds placed_cpu_time_{0};
};

/// @returns the length of the longest chain of dependent steps, by their
///   estimates
milliseconds CriticalPath(const std::vector<job_step>& steps);

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_JOB_ADMISSION_H_
