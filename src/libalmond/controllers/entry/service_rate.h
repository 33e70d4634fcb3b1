#ifndef ALMOND_CONTROLLERS_ENTRY_SERVICE_RATE_H_
#define ALMOND_CONTROLLERS_ENTRY_SERVICE_RATE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "libalmond/core/clock.h"

namespace almond {

/// Measures how fast tasks of one service leave the entry's queue: starts per
/// second while tasks wait, and run times of the tasks that ended.
class service_rate {
 public:
  /// Time that the measured rate looks back.
  static constexpr milliseconds kWindow{2000};
  static constexpr milliseconds kBucket{100};
  /// Busy time in the window from which its rate is trusted.
  static constexpr milliseconds kMinBusy{300};
  static constexpr std::size_t kSamples = 256;

  /// Counts a task that ended on an endpoint.
  void AddEnd(steady_time now, duration run_time);
  /// Tells whether tasks wait; to be called on change and at each tick.
  void SetBacklogged(steady_time now, bool backlogged);

  /// @param now end of the window
  /// @param slots slots that the service's endpoints announce
  /// @returns tasks per second, or nothing before anything was measured
  std::optional<double> PerSecond(steady_time now, std::size_t slots) const;
  /// @returns run time that nine of ten recent tasks stay below
  duration RunTimeP90() const;

 private:
  struct bucket {
    steady_time start;
    std::size_t ends = 0;
    duration busy{0};
  };
  bucket& Current(steady_time now);

  std::deque<bucket> buckets_;
  std::vector<duration> samples_;
  std::size_t next_sample_ = 0;
  bool backlogged_ = false;
  steady_time backlog_seen_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_SERVICE_RATE_H_
