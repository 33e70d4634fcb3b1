#include "libalmond/config/route_config.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace almond {
namespace {

std::string HostName(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return name;
}

}  // namespace

std::vector<std::string> CheckRoutes(const route_config& config) {
  std::vector<std::string> errors;
  if (config.version.Value() == 0) errors.emplace_back("the version is 0");
  std::set<std::pair<std::string, std::string>> prefixes;
  for (const route& entry : config.routes) {
    const std::string subject = "route " + entry.name + ": ";
    if (!config.services.contains(entry.service)) {
      errors.push_back(subject + "unknown service " + entry.service.Value());
    }
    if (entry.timeout <= milliseconds(0)) {
      errors.push_back(subject + "the timeout is 0");
    }
    if (!prefixes.insert({HostName(entry.host), entry.path_prefix}).second) {
      errors.push_back(subject + "another route has host " + entry.host +
                       " and prefix " + entry.path_prefix);
    }
  }
  return errors;
}

const route* FindRoute(const route_config& config, std::string_view host,
                       std::string_view path) {
  const std::string name = HostName(host);
  const route* best = nullptr;
  for (const route& entry : config.routes) {
    if (HostName(entry.host) != name || !path.starts_with(entry.path_prefix)) {
      continue;
    }
    if (best == nullptr ||
        entry.path_prefix.size() > best->path_prefix.size()) {
      best = &entry;
    }
  }
  return best;
}

}  // namespace almond
