#ifndef ALMOND_CONTROLLERS_ENTRY_ENDPOINT_HEALTH_H_
#define ALMOND_CONTROLLERS_ENTRY_ENDPOINT_HEALTH_H_

#include <cstdint>

#include "libalmond/core/clock.h"

namespace almond {

/// Success record of one endpoint: a decayed success rate, and whether the
/// endpoint is ejected until a probe succeeds.
class endpoint_health {
 public:
  /// Weight of the newest outcome in the success rate.
  static constexpr double kNewestWeight = 0.2;
  /// Failures in a row after which the endpoint may be ejected.
  static constexpr std::uint32_t kEjectAfter = 5;
  /// Time from the ejection to the first probe; doubles with each failed one.
  static constexpr milliseconds kFirstProbe{1000};
  static constexpr milliseconds kLongestProbe{30000};
  /// Success rate after a successful probe; the endpoint regains its slots as
  /// it proves itself.
  static constexpr double kReadmittedSuccess = 0.5;

  /// Records the outcome of a start.
  /// @param success the task was done
  /// @param now time from which the next probe is counted
  /// @returns true if the outcome readmitted the endpoint
  bool Record(bool success, steady_time now);
  /// Stops starts until the next probe.
  void Eject(steady_time now);

  /// @returns decayed share of successes, from 0 to 1
  double Success() const { return success_; }
  bool Ejected() const { return ejected_; }
  /// @returns true if enough failures have come in a row
  bool Suspect() const { return !ejected_ && failures_ >= kEjectAfter; }
  /// @returns true if an ejected endpoint may get one task
  bool ProbeDue(steady_time now) const { return ejected_ && now >= probe_; }
  /// @param slots slots of the endpoint
  /// @param usual success rate of the service's endpoints; work that fails
  ///   everywhere takes no slots from any of them
  /// @returns number of tasks that it may run at once, at least 1
  std::uint32_t AllowedTasks(std::uint32_t slots, double usual) const;

 private:
  double success_ = 1;
  std::uint32_t failures_ = 0;
  bool ejected_ = false;
  steady_time probe_;
  milliseconds backoff_{kFirstProbe};
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_ENDPOINT_HEALTH_H_
