#ifndef ALMOND_PROCESSES_CONTROL_PROCESS_SETTINGS_H_
#define ALMOND_PROCESSES_CONTROL_PROCESS_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libalmond/core/identifiers.h"
#include "libalmond/core/socket_address.h"
#include "libalmond/net/input_limits.h"

namespace almond {

/// Addresses of one control process.
struct control_address {
  std::string id;
  /// For the other replicas; port 0 while the place is vacant.
  socket_address peer;
  socket_address control;              ///< for entries and agents
  std::optional<socket_address> http;  ///< for operators, if set
  /// False for a place that is vacant in a new cluster.
  bool founder = true;
  /// True for a place that was added to a running cluster.
  bool added = false;

  bool operator==(const control_address&) const = default;
};

/// Settings of a control process, read from its flags.
struct control_settings {
  std::string id;
  std::string cluster;
  data_centre_id data_centre;
  std::vector<control_address> replicas;  ///< all, including this one
  socket_address listen_peer;
  socket_address listen_control;
  socket_address listen_http;
  std::string data_dir;
  bool bootstrap = false;
  /// Number of places up to which the log grows while processes wait for one;
  /// 0 keeps the number of the bootstrap.
  std::size_t max_places = 0;
  input_limits limits = {};
  /// Data centres of the deployment; empty if they are not known.
  std::vector<data_centre_id> data_centres = {};
};

/// @param text "ID=IP:PORT/IP:PORT,..." with the addresses for replicas and for
///   entries and agents, optionally followed by "/IP:PORT" for operators
/// @returns the replicas, or nothing if the text is malformed or an id occurs
///   twice
std::optional<std::vector<control_address>> ParseReplicas(
    std::string_view text);

/// @param text names separated by commas
/// @returns the names that are not empty
std::vector<data_centre_id> ParseDataCentres(std::string_view text);

}  // namespace almond

#endif  // ALMOND_PROCESSES_CONTROL_PROCESS_SETTINGS_H_
