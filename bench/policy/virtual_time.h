#ifndef ALMOND_BENCH_POLICY_VIRTUAL_TIME_H_
#define ALMOND_BENCH_POLICY_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "libalmond/core/clock.h"

namespace almond::bench {

/// Discrete-event scheduler on a manual clock: runs callbacks in order of time
/// without waiting in real time.
class virtual_time {
 public:
  const manual_clock& Clock() const { return clock_; }
  steady_time Now() const { return clock_.SteadyNow(); }

  /// @param delay from now
  /// @param callback called once
  void After(duration delay, std::function<void()> callback) {
    events_.emplace(std::pair(Now() + delay, next_++), std::move(callback));
  }

  /// Runs all events up to and including a time.
  /// @param end later events remain scheduled
  void RunUntil(steady_time end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      const auto event = events_.begin();
      clock_.Advance(event->first.first - Now());
      const auto callback = std::move(event->second);
      events_.erase(event);
      callback();
    }
  }

 private:
  manual_clock clock_;
  std::map<std::pair<steady_time, std::uint64_t>, std::function<void()>>
      events_;
  std::uint64_t next_ = 0;
};

}  // namespace almond::bench

#endif  // ALMOND_BENCH_POLICY_VIRTUAL_TIME_H_
