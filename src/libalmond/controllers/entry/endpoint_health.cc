#include "libalmond/controllers/entry/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace almond {
namespace {

/// Limit of consecutive failures that are counted; more hardly change the rate.
constexpr std::uint32_t kMaxCountedFailures = 200;

}  // namespace

void endpoint_health::AddEarlierOutcome(double failed) {
  earlier_failure_rate_ += earlier_weight_ * (failed - earlier_failure_rate_);
  // The first outcomes have the weight of a plain mean; otherwise the rate
  // would stay near its initial value for dozens of tasks.
  earlier_weight_ = std::max(kMinEarlierOutcomeWeight,
                             earlier_weight_ / (1 + earlier_weight_));
}

bool endpoint_health::IsSuspect() const {
  if (ejected_ || consecutive_failures_ == 0) return false;
  // Below 1, so that an endpoint that has always failed can still become
  // suspect.
  constexpr double kMaxFailureRate = 0.995;
  const double rate =
      std::min(earlier_failure_rate_ + kFailureRateMargin, kMaxFailureRate);
  return std::pow(rate, consecutive_failures_) < kMinChanceProbability;
}

bool endpoint_health::RecordOutcome(bool success, steady_time now) {
  if (ejected_) {
    if (!success) {
      probe_delay_ = std::min(probe_delay_ * 2, kMaxProbeDelay);
      last_failure_ = now;
      return false;
    }
    ejected_ = false;
    consecutive_failures_ = 0;
    success_rate_ = kReadmittedSuccessRate;
    return true;
  }
  if (success) {
    const std::uint32_t counted =
        std::min(consecutive_failures_, kMaxCountedFailures);
    for (std::uint32_t i = 0; i < counted; ++i) AddEarlierOutcome(1);
    AddEarlierOutcome(0);
  }
  success_rate_ +=
      kNewestOutcomeWeight * ((success ? 1.0 : 0.0) - success_rate_);
  consecutive_failures_ = success ? 0 : consecutive_failures_ + 1;
  if (success) probe_delay_ = kMinProbeDelay;
  return false;
}

void endpoint_health::Eject(steady_time now) {
  ejected_ = true;
  last_failure_ = now;
}

std::uint32_t endpoint_health::AllowedTasks(std::uint32_t slots,
                                            double mean_success) const {
  // Above this ratio single failures are normal and cost no slots.
  constexpr double kHealthyRatio = 0.9;
  const double relative = success_rate_ / std::max(mean_success, 1e-3);
  if (relative >= kHealthyRatio) return std::max<std::uint32_t>(slots, 1);
  const double allowed = std::floor(static_cast<double>(slots) * relative);
  return std::max<std::uint32_t>(static_cast<std::uint32_t>(allowed), 1);
}

}  // namespace almond
