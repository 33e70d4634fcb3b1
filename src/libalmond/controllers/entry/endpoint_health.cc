#include "libalmond/controllers/entry/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace almond {
namespace {

/// Failures in a row that are counted; more change the rate no further.
constexpr std::uint32_t kLongestRow = 200;

}  // namespace

void endpoint_health::RecordEarlier(double failed) {
  earlier_failures_ += earlier_weight_ * (failed - earlier_failures_);
  // The first outcomes weigh as in a plain mean, or the rate would stay near
  // its start for dozens of tasks.
  earlier_weight_ =
      std::max(kEarlierWeight, earlier_weight_ / (1 + earlier_weight_));
}

bool endpoint_health::Suspect() const {
  if (ejected_ || failures_ == 0) return false;
  // Below 1, so that work that always failed can still eject.
  constexpr double kMost = 0.995;
  const double rate = std::min(earlier_failures_ + kRateMargin, kMost);
  return std::pow(rate, failures_) < kImprobable;
}

bool endpoint_health::Record(bool success, steady_time now) {
  if (ejected_) {
    if (!success) {
      backoff_ = std::min(backoff_ * 2, kLongestProbe);
      last_failure_ = now;
      return false;
    }
    ejected_ = false;
    failures_ = 0;
    success_ = kReadmittedSuccess;
    return true;
  }
  if (success) {
    const std::uint32_t row = std::min(failures_, kLongestRow);
    for (std::uint32_t i = 0; i < row; ++i) RecordEarlier(1);
    RecordEarlier(0);
  }
  success_ += kNewestWeight * ((success ? 1.0 : 0.0) - success_);
  failures_ = success ? 0 : failures_ + 1;
  if (success) backoff_ = kFirstProbe;
  return false;
}

void endpoint_health::Eject(steady_time now) {
  ejected_ = true;
  last_failure_ = now;
}

std::uint32_t endpoint_health::AllowedTasks(std::uint32_t slots,
                                            double usual) const {
  // Above this rate single failures are ordinary and cost no slots.
  constexpr double kHealthy = 0.9;
  const double relative = success_ / std::max(usual, 1e-3);
  if (relative >= kHealthy) return std::max<std::uint32_t>(slots, 1);
  const double allowed = std::floor(static_cast<double>(slots) * relative);
  return std::max<std::uint32_t>(static_cast<std::uint32_t>(allowed), 1);
}

}  // namespace almond
