#include "libalmond/filters/rule_filter.h"

namespace almond {

request_filter MakeRuleFilter() {
  return [](request_context& request) -> std::optional<refusal> {
    request.idempotent = request.config->Idempotent(request.kind);
    return std::nullopt;
  };
}

}  // namespace almond
