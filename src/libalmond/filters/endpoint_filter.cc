#include "libalmond/filters/endpoint_filter.h"

namespace almond {

request_filter MakeEndpointFilter(admission_hooks admission) {
  return [admission = std::move(admission)](
             request_context& request) -> std::optional<refusal> {
    if (admission.load(request.service, request.team).agents > 0) {
      return std::nullopt;
    }
    return refusal{refusal_reason::no_endpoint, run_outcome::not_run, ""};
  };
}

}  // namespace almond
