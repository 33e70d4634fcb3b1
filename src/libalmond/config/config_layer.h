#ifndef ALMOND_CONFIG_CONFIG_LAYER_H_
#define ALMOND_CONFIG_CONFIG_LAYER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libalmond/config/config_loader.h"
#include "libalmond/config/config_model.h"

namespace almond {

/// The keys that a file sets for one service.
struct service_layer {
  std::optional<team_id> team;
  std::optional<milliseconds> default_timeout;
  std::optional<milliseconds> max_timeout;
  std::optional<std::uint32_t> max_tasks_per_job;
  std::optional<std::uint64_t> max_body_bytes;
  std::optional<milliseconds> suspend_after;
  std::optional<std::vector<service_rule>> rules;
};

/// The keys that a file sets for one team.
struct team_layer {
  std::optional<std::uint32_t> weight;
  std::optional<std::uint32_t> max_queued_tasks;
  std::optional<std::uint32_t> max_running_tasks;
};

/// The settings of one file, the base file or an overlay.
struct config_layer {
  bool parsed = false;  ///< false if the text is not a YAML mapping
  std::vector<data_centre_id> data_centres;
  std::map<team_id, team_layer> teams;
  std::map<service_id, service_layer> services;
};

/// Reads one file and makes all checks that do not depend on other files.
/// @param text content
/// @param file "base" or the overlay's data centre, as named in the errors
/// @param[out] errors receives one entry for each error
config_layer ReadConfigLayer(const std::string& text, const std::string& file,
                             std::vector<config_error>& errors);

}  // namespace almond

#endif  // ALMOND_CONFIG_CONFIG_LAYER_H_
