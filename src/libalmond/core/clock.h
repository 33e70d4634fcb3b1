#ifndef ALMOND_CORE_CLOCK_H_
#define ALMOND_CORE_CLOCK_H_

#include <time.h>

#include <chrono>

namespace almond {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;

/// Source of time; injected so that tests control it.
class clock_interface {
 public:
  virtual ~clock_interface() = default;
  /// @returns monotonic time for deadlines, leases and measurements
  virtual steady_time SteadyNow() const = 0;
  /// @returns wall-clock time, for UUIDv7 timestamps and the ledger's window
  virtual wall_time WallNow() const = 0;
};

/// The clocks of the operating system.
class system_clock final : public clock_interface {
 public:
  /// Includes the time for which the machine was suspended, so that leases also
  /// expire during a suspension.
  steady_time SteadyNow() const override {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return steady_time(std::chrono::seconds(now.tv_sec) +
                       std::chrono::nanoseconds(now.tv_nsec));
  }
  wall_time WallNow() const override {
    return std::chrono::system_clock::now();
  }
};

/// A clock for tests and benchmarks; its time changes only when Advance is
/// called.
class manual_clock final : public clock_interface {
 public:
  steady_time SteadyNow() const override { return steady_; }
  wall_time WallNow() const override { return wall_; }
  /// Advances both clocks.
  /// @param step time to add
  void Advance(duration step) {
    steady_ += step;
    wall_ += std::chrono::duration_cast<wall_time::duration>(step);
  }

 private:
  steady_time steady_{std::chrono::hours(1)};
  wall_time wall_{std::chrono::hours(24 * 365 * 56)};
};

}  // namespace almond

#endif  // ALMOND_CORE_CLOCK_H_
