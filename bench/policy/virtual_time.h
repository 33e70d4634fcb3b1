#ifndef ALMOND_BENCH_POLICY_VIRTUAL_TIME_H_
#define ALMOND_BENCH_POLICY_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "libalmond/core/clock.h"

namespace almond::bench {

/// Runs callbacks in the order of their time on a manual clock, so that
/// decisions can be measured without real waiting.
class virtual_time {
 public:
  const manual_clock& Clock() const { return clock_; }
  steady_time Now() const { return clock_.SteadyNow(); }

  /// @param delay from now
  /// @param callback called once
  void After(duration delay, std::function<void()> callback) {
    events_.emplace(std::pair(Now() + delay, next_++), std::move(callback));
  }

  /// Runs until no event is left or the time has come.
  /// @param end events after this time stay unprocessed
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
