#include "libalmond/filters/draining_filter.h"

namespace almond {

request_filter MakeDrainingFilter(std::function<bool()> draining) {
  return [draining = std::move(draining)](
             request_context& /*request*/) -> std::optional<refusal> {
    if (!draining()) return std::nullopt;
    return refusal{refusal_reason::draining, run_outcome::not_run, ""};
  };
}

}  // namespace almond
