#include "libalmond/filters/idempotency_filter.h"

namespace almond {

request_filter MakeIdempotencyFilter() {
  return [](request_context& request) -> std::optional<refusal> {
    request.idempotent = request.config->Idempotent(request.kind);
    return std::nullopt;
  };
}

}  // namespace almond
