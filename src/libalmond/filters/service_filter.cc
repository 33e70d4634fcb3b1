#include "libalmond/filters/service_filter.h"

namespace almond {

request_filter MakeServiceFilter(
    std::function<const data_centre_config*()> config) {
  return [config = std::move(config)](
             request_context& request) -> std::optional<refusal> {
    const data_centre_config* active_config = config();
    if (active_config == nullptr) {
      return refusal{refusal_reason::no_configuration, run_outcome::not_run,
                     ""};
    }
    const auto found = active_config->services.find(request.service);
    if (found == active_config->services.end()) {
      return refusal{refusal_reason::unknown_service, run_outcome::not_run,
                     "service " + request.service.Value()};
    }
    request.config = &found->second;
    return std::nullopt;
  };
}

}  // namespace almond
