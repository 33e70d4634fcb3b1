#ifndef ALMOND_CONTROLLERS_ENTRY_ENDPOINT_HEALTH_H_
#define ALMOND_CONTROLLERS_ENTRY_ENDPOINT_HEALTH_H_

#include <cstdint>

#include "libalmond/core/clock.h"

namespace almond {

/// Health of one endpoint: its decayed success rate, and whether it is ejected
/// until a probe succeeds.
class endpoint_health {
 public:
  /// Weight of the newest outcome in the success rate.
  static constexpr double kNewestOutcomeWeight = 0.2;
  /// Consecutive failures make the endpoint suspect only if its earlier failure
  /// rate makes them less probable than this: work that fails half the time
  /// everywhere often fails five times in a row. Without earlier failures ten
  /// in a row are enough.
  static constexpr double kMinChanceProbability = 1e-8;
  /// Safety margin added to the earlier failure rate, which is an estimate.
  static constexpr double kFailureRateMargin = 0.15;
  /// Weight of the newest outcome in the earlier failure rate, after the first
  /// dozens of outcomes.
  static constexpr double kMinEarlierOutcomeWeight = 0.02;
  /// Time from the ejection to the first probe; doubles with each failed probe.
  static constexpr milliseconds kMinProbeDelay{1000};
  static constexpr milliseconds kMaxProbeDelay{30000};
  /// Mean success rate of the other endpoints below which an ejection does not
  /// improve the results.
  static constexpr double kServiceFailingRate = 0.5;
  /// Success rate after a successful probe; the endpoint regains its slots
  /// gradually as it succeeds.
  static constexpr double kReadmittedSuccessRate = 0.5;

  /// Records the outcome of one start.
  /// @param success true if the task succeeded
  /// @param now time of the outcome; the delay before the next probe
  ///   starts then if the probe failed
  /// @returns true if the outcome readmitted the endpoint
  bool RecordOutcome(bool success, steady_time now);
  /// Ejects the endpoint: it gets only probes until one succeeds.
  void Eject(steady_time now);

  /// @returns the decayed success rate, from 0 to 1
  double SuccessRate() const { return success_rate_; }
  bool Ejected() const { return ejected_; }
  /// @returns true if the consecutive failures cannot be explained by the
  ///   endpoint's earlier failure rate
  bool IsSuspect() const;
  /// @param mean_success mean success rate of the service's other endpoints
  /// @returns true if an ejected endpoint may get one task as a probe. While
  ///   the other endpoints succeed in less than kServiceFailingRate of their
  ///   tasks, the delay is only kMinProbeDelay: a longer one would avoid no
  ///   failures and slow the recovery.
  bool ProbeDue(steady_time now, double mean_success) const {
    const milliseconds wait =
        mean_success < kServiceFailingRate ? kMinProbeDelay : probe_delay_;
    return ejected_ && now >= last_failure_ + wait;
  }
  /// @param slots slots of the endpoint
  /// @param mean_success mean success rate of the service's endpoints. An
  ///   endpoint loses slots only relative to it, so work that fails everywhere
  ///   costs no endpoint its slots
  /// @returns the limit of the endpoint's concurrent tasks, at least 1
  std::uint32_t AllowedTasks(std::uint32_t slots, double mean_success) const;

 private:
  void AddEarlierOutcome(double failed);

  double success_rate_ = 1;
  /// Decayed failure rate, excluding the current consecutive failures.
  double earlier_failure_rate_ = 0;
  double earlier_weight_ = 0.5;
  std::uint32_t consecutive_failures_ = 0;
  bool ejected_ = false;
  steady_time last_failure_;  ///< ejection or last failed probe
  milliseconds probe_delay_{kMinProbeDelay};
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_ENDPOINT_HEALTH_H_
