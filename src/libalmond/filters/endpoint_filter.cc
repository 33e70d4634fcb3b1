#include "libalmond/filters/endpoint_filter.h"

namespace almond {

request_filter MakeEndpointFilter(admission_hooks state) {
  return [state = std::move(state)](
             request_context& request) -> std::optional<refusal> {
    if (state.load(request.service, request.team).agents > 0) {
      return std::nullopt;
    }
    return refusal{refusal_reason::no_endpoint, run_outcome::not_run, ""};
  };
}

}  // namespace almond
