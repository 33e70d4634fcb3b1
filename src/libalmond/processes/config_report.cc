#include "libalmond/processes/config_report.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include "libalmond/config/config_loader.h"

namespace almond {

std::string ConfigReport(const config_holder& config) {
  const nlohmann::json report = {{"version", config.Version().Value()},
                                 {"digest", config.Digest()},
                                 {"confirmed", config.Confirmed()}};
  return report.dump();
}

void SetConfigGauges(const config_holder& config, metrics_registry& metrics) {
  metrics.Gauge("almond_config_version")
      .Set(static_cast<double>(config.Version().Value()));
  metrics.Gauge("almond_config_confirmed").Set(config.Confirmed() ? 1 : 0);
}

std::optional<data_centre_config> ResolveForDataCentre(
    const config_document& document, const data_centre_id& data_centre) {
  std::optional<data_centre_config> merged;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        auto resolved = ResolveConfig(document, data_centre);
        if (!resolved) return resolved.error();
        merged = std::move(*resolved);
        return {};
      },
      [] {});
  return merged;
}

}  // namespace almond
