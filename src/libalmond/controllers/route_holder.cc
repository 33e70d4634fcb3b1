#include "libalmond/controllers/route_holder.h"

#include <utility>

namespace almond {

bool route_holder::ApplyIfNewer(route_config config) {
  if (config.version <= Version()) return false;
  routes_ = std::make_shared<const route_config>(std::move(config));
  return true;
}

void route_holder::OnNewestVersion(config_version newest) {
  if (newest <= Version()) confirmed_ = clock_.SteadyNow();
}

bool route_holder::Fresh() const {
  return routes_ && confirmed_ &&
         clock_.SteadyNow() - *confirmed_ < kFreshnessTimeout;
}

}  // namespace almond
