#ifndef ALMOND_CONTROLLERS_AGENT_RUN_PROGRESS_H_
#define ALMOND_CONTROLLERS_AGENT_RUN_PROGRESS_H_

#include <algorithm>
#include <cstdint>

#include "libalmond/core/clock.h"

namespace almond {

/// Distinguishes stalled runs from slow ones. Some endpoints accept tasks and
/// do not work on them; such runs would hold their resources and delay their
/// jobs until the callers give up. A slow run makes progress and is kept, since
/// restarting it elsewhere costs more than it gains.
class run_progress {
 public:
  /// A run without progress for this fraction of its estimate is stalled. A run
  /// ten times slower than estimated still progresses by five percentage points
  /// in this time.
  static constexpr double kStallRatio = 0.5;
  /// Minimum time without progress. Progress is reported every 40 ms, and a few
  /// reports may be late.
  static constexpr milliseconds kMinStallTime{150};

  /// @param start time at which the run was started
  /// @param estimate expected run time
  run_progress(steady_time start, milliseconds estimate)
      : last_progress_(start), last_update_(start), estimate_(estimate) {}

  /// Records the progress that the endpoint reported.
  /// @param percent percentage of completed work
  /// @param now time at which the report was requested
  void Update(std::uint32_t percent, steady_time now) {
    if (percent != percent_) last_progress_ = now;
    percent_ = percent;
    last_update_ = now;
  }
  /// @returns true if reports have shown no progress for too long
  bool Stalled() const {
    const auto limit =
        std::chrono::duration_cast<duration>(estimate_ * kStallRatio);
    return last_update_ - last_progress_ >=
           std::max<duration>(limit, kMinStallTime);
  }
  std::uint32_t Percent() const { return percent_; }

 private:
  steady_time last_progress_;  ///< time of the last change of percent_
  steady_time last_update_;
  milliseconds estimate_;
  std::uint32_t percent_ = 0;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_RUN_PROGRESS_H_
