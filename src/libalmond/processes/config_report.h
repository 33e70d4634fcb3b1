#ifndef ALMOND_PROCESSES_CONFIG_REPORT_H_
#define ALMOND_PROCESSES_CONFIG_REPORT_H_

#include <optional>
#include <string>

#include "libalmond/config/config_model.h"
#include "libalmond/controllers/config_holder.h"
#include "libalmond/core/metrics.h"

namespace almond {

/// @returns JSON with `version`, `digest` and `confirmed`, the response body of
///   GET /v1/config
std::string ConfigReport(const config_holder& config);

/// Sets the gauges of the active version and of whether it is confirmed.
void SetConfigGauges(const config_holder& config, metrics_registry& metrics);

/// Resolve hook of config_holder.
/// @returns the merged configuration of a data centre, or nothing if the
///   document is invalid
std::optional<data_centre_config> ResolveForDataCentre(
    const config_document& document, const data_centre_id& data_centre);

}  // namespace almond

#endif  // ALMOND_PROCESSES_CONFIG_REPORT_H_
