#ifndef ALMOND_CONTROLLERS_ENTRY_JOB_ADMISSION_H_
#define ALMOND_CONTROLLERS_ENTRY_JOB_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "libalmond/core/clock.h"
#include "libalmond/core/job_messages.h"

namespace almond {

/// What is known about a service when a job arrives.
struct service_backlog {
  std::int64_t total_cpu_milli = 0;   ///< of all accepting endpoints
  std::int64_t unused_cpu_milli = 0;  ///< of these
  /// Processor time of this entry's tasks that wait, in milliseconds of a core.
  std::int64_t queued_core_ms = 0;
};

/// Refuses jobs that cannot end within their callers' time. Answers a load that
/// exceeds the room for longer than callers wait: a job that would wait beyond
/// its time is refused on arrival, so that its caller can act, and the queue
/// holds only jobs that can still be served.
class job_admission {
 public:
  /// Window over which the own rate of service is measured.
  static constexpr milliseconds kRateWindow{1000};
  /// Share of the total room that this entry counts on without a measured rate.
  static constexpr double kMinShare = 0.05;
  /// Estimates of the wait are rough; a job is refused only if it exceeds the
  /// caller's time by this factor.
  static constexpr double kTolerance = 1.2;
  static constexpr milliseconds kMinRetryAfter{100};

  explicit job_admission(const clock_interface& clock) : clock_(clock) {}

  /// Takes note of a task that was placed.
  void Placed(std::int64_t core_ms);

  /// @param chain longest chain of estimates of the job
  /// @returns the refusal, or nothing if the job is to be queued
  std::optional<job_answer> Check(const job_request& job, milliseconds chain,
                                  const service_backlog& backlog);
  /// @returns expected time until what is queued now has been placed
  milliseconds ExpectedWait(const service_backlog& backlog);

 private:
  void Forget();

  const clock_interface& clock_;
  std::deque<std::pair<steady_time, std::int64_t>> placed_;
  std::int64_t placed_core_ms_ = 0;
};

/// @returns the longest chain of estimates through the steps
milliseconds LongestChain(const std::vector<job_step>& steps);

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_JOB_ADMISSION_H_
