#ifndef ALMOND_CONTROLLERS_ENTRY_SERVICE_RATE_H_
#define ALMOND_CONTROLLERS_ENTRY_SERVICE_RATE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "libalmond/core/clock.h"

namespace almond {

/// Measures the throughput of one service at one entry: task ends per second
/// while tasks are queued, and the run times of ended tasks.
class service_rate {
 public:
  /// Window of the measured rate.
  static constexpr milliseconds kWindow{2000};
  static constexpr milliseconds kBucketWidth{100};
  /// The window's rate is used only if tasks were queued for at least this long
  /// within the window.
  static constexpr milliseconds kMinBackloggedTime{300};
  static constexpr std::size_t kMaxSamples = 256;

  /// Counts a task that ended on an endpoint.
  void AddCompletion(steady_time now, duration run_time);
  /// Reports whether tasks are queued; called on each change and tick.
  void SetBacklogged(steady_time now, bool backlogged);

  /// @param now end of the window
  /// @param slots slots announced by the service's endpoints; with the mean run
  ///   time they give the rate while the window has no usable one
  /// @returns tasks per second, or nothing before the first measurement
  std::optional<double> TasksPerSecond(steady_time now,
                                       std::size_t slots) const;
  /// @returns 90th percentile of recent run times
  duration RunTimeP90() const;

 private:
  struct bucket {
    steady_time start;
    std::size_t completions = 0;
    duration backlogged_time{0};
  };
  bucket& CurrentBucket(steady_time now);

  std::deque<bucket> buckets_;
  std::vector<duration> samples_;
  std::size_t next_sample_ = 0;
  bool backlogged_ = false;
  steady_time backlog_updated_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_SERVICE_RATE_H_
