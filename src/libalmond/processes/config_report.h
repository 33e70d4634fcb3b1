#ifndef ALMOND_PROCESSES_CONFIG_REPORT_H_
#define ALMOND_PROCESSES_CONFIG_REPORT_H_

#include <optional>
#include <string>

#include "libalmond/config/config_model.h"
#include "libalmond/controllers/config_holder.h"
#include "libalmond/core/metrics.h"

namespace almond {

/// @returns JSON with version, digest and confirmed, as of GET /v1/config
std::string ConfigReport(const config_holder& config);

/// Sets the gauges of the version in force and of its confirmation.
void SetConfigGauges(const config_holder& config, metrics_registry& metrics);

/// Merges a document for a data centre; the resolve hook of config_holder.
std::optional<data_centre_config> ResolveForSite(
    const config_document& document, const data_centre_id& data_centre);

}  // namespace almond

#endif  // ALMOND_PROCESSES_CONFIG_REPORT_H_
