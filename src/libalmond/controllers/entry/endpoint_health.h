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
  /// A row of failures counts against the endpoint only if its earlier
  /// failures would bring such a row less often than this: work of which half
  /// fails everywhere often fails five times in a row. Without earlier
  /// failures, ten in a row are enough.
  static constexpr double kImprobable = 1e-8;
  /// Added to the rate of earlier failures, which is an estimate.
  static constexpr double kRateMargin = 0.15;
  /// Weight of the newest outcome in the rate of earlier failures, once the
  /// endpoint has had some dozens of them.
  static constexpr double kEarlierWeight = 0.02;
  /// Time from the ejection to the first probe; doubles with each failed one.
  static constexpr milliseconds kFirstProbe{1000};
  static constexpr milliseconds kLongestProbe{30000};
  /// Success rate of the others below which an ejection helps nobody.
  static constexpr double kFailing = 0.5;
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
  /// @returns true if more failures have come in a row than the endpoint's
  ///   earlier failures explain
  bool Suspect() const;
  /// @param usual success rate of the service's other endpoints
  /// @returns true if an ejected endpoint may get one task. While the others do
  ///   no better, waiting longer spares no failures and delays the recovery.
  bool ProbeDue(steady_time now, double usual) const {
    const milliseconds wait = usual < kFailing ? kFirstProbe : backoff_;
    return ejected_ && now >= last_failure_ + wait;
  }
  /// @param slots slots of the endpoint
  /// @param usual success rate of the service's endpoints; work that fails
  ///   everywhere takes no slots from any of them
  /// @returns number of tasks that it may run at once, at least 1
  std::uint32_t AllowedTasks(std::uint32_t slots, double usual) const;

 private:
  void RecordEarlier(double failed);

  double success_ = 1;
  /// Decayed share of failures before the present row of failures.
  double earlier_failures_ = 0;
  double earlier_weight_ = 0.5;
  std::uint32_t failures_ = 0;
  bool ejected_ = false;
  steady_time last_failure_;  ///< ejection, or the last failed probe
  milliseconds backoff_{kFirstProbe};
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_ENDPOINT_HEALTH_H_
