#ifndef ALMOND_CONTROLLERS_ROUTE_HOLDER_H_
#define ALMOND_CONTROLLERS_ROUTE_HOLDER_H_

#include <memory>
#include <optional>

#include "libalmond/config/route_config.h"
#include "libalmond/core/clock.h"

namespace almond {

/// The routes in force at one process. Their version only grows.
class route_holder {
 public:
  /// The leader announces the newest version with each heartbeat; without one
  /// for so long a missing route may be one that this process has not heard of.
  static constexpr milliseconds kFreshness{1000};

  explicit route_holder(const clock_interface& clock) : clock_(clock) {}

  /// Puts a configuration into force if its version is higher.
  /// @returns true if it came into force
  bool ApplyIfNewer(route_config config);
  /// Takes note of the newest version that the control leader announced.
  void OnNewestVersion(config_version newest);

  /// @returns the routes in force, or null
  std::shared_ptr<const route_config> Routes() const { return routes_; }
  config_version Version() const {
    return routes_ ? routes_->version : config_version();
  }
  /// @returns true if the leader has lately announced no higher version
  bool Fresh() const;

 private:
  const clock_interface& clock_;
  std::shared_ptr<const route_config> routes_;
  std::optional<steady_time> confirmed_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ROUTE_HOLDER_H_
