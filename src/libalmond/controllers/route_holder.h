#ifndef ALMOND_CONTROLLERS_ROUTE_HOLDER_H_
#define ALMOND_CONTROLLERS_ROUTE_HOLDER_H_

#include <memory>
#include <optional>

#include "libalmond/config/route_config.h"
#include "libalmond/core/clock.h"

namespace almond {

/// The active routes of a process. Their version never decreases.
class route_holder {
 public:
  /// Time for which an announcement of the active version by the leader counts
  /// as current. The leader announces the newest version with each heartbeat;
  /// without one, a missing route may be a new route that this process does not
  /// know yet.
  static constexpr milliseconds kFreshnessTimeout{1000};

  explicit route_holder(const clock_interface& clock) : clock_(clock) {}

  /// Activates a configuration if its version is higher than the active one.
  /// @returns true if it became active
  bool ApplyIfNewer(route_config config);
  /// Handles the newest version announced by the control leader.
  void OnNewestVersion(config_version newest);

  /// @returns the active routes, or null
  std::shared_ptr<const route_config> Routes() const { return routes_; }
  config_version Version() const {
    return routes_ ? routes_->version : config_version();
  }
  /// @returns true if the leader has announced within kFreshnessTimeout that
  ///   there is no higher version than the active one
  bool Fresh() const;

 private:
  const clock_interface& clock_;
  std::shared_ptr<const route_config> routes_;
  std::optional<steady_time> confirmed_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ROUTE_HOLDER_H_
