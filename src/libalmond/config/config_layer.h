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
struct service_part {
  std::optional<team_id> team;
  std::optional<milliseconds> default_timeout;
  std::optional<milliseconds> max_timeout;
  std::optional<std::uint32_t> max_tasks_per_job;
  std::optional<std::uint64_t> max_body_bytes;
  std::optional<milliseconds> suspend_after;
  std::optional<std::vector<service_rule>> rules;
};

/// The keys that a file sets for one team.
struct team_part {
  std::optional<std::uint32_t> weight;
  std::optional<std::uint32_t> max_queued_tasks;
  std::optional<std::uint32_t> max_running_tasks;
};

/// What one file sets.
struct config_part {
  bool parsed = false;  ///< false if the text is no YAML mapping
  std::vector<data_centre_id> data_centres;
  std::map<team_id, team_part> teams;
  std::map<service_id, service_part> services;
};

/// Reads one file and checks everything that needs no other file.
/// @param text content
/// @param file "base" or the overlay's data centre
/// @param[out] errors gets one entry for each fault
config_part ReadConfigPart(const std::string& text, const std::string& file,
                           std::vector<config_error>& errors);

}  // namespace almond

#endif  // ALMOND_CONFIG_CONFIG_LAYER_H_
