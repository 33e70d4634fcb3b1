#ifndef ALMOND_CONFIG_ROUTE_CONFIG_H_
#define ALMOND_CONFIG_ROUTE_CONFIG_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/identifiers.h"

namespace almond {

/// Service and scheduling parameters of the jobs for one host and path prefix.
struct route {
  std::string name;
  std::string host;  ///< without a port, in lower case
  std::string path_prefix;
  service_id service;
  std::uint32_t priority = 0;  ///< 0 is the highest
  /// Failed runs of a task after which its job fails.
  std::uint32_t max_attempts = 1;
  /// The objective for the duration of a job is its critical path times
  /// `stretch`, plus `slack`.
  double stretch = 1;
  milliseconds slack{0};
  milliseconds timeout{0};
};

/// The complete set of routes, with a version that the operator assigns.
struct route_config {
  config_version version;
  std::vector<route> routes;
  std::set<service_id> services;
};

/// @returns all errors of a decoded configuration: routes to unknown services,
///   two routes with the same host and prefix, timeouts of zero, no version
std::vector<std::string> CheckRoutes(const route_config& config);

/// @param host value of the Host header, with or without a port
/// @returns the host's route with the longest prefix that matches the path, or
///   null
const route* FindRoute(const route_config& config, std::string_view host,
                       std::string_view path);

}  // namespace almond

#endif  // ALMOND_CONFIG_ROUTE_CONFIG_H_
