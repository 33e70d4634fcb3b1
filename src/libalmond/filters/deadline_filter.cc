#include "libalmond/filters/deadline_filter.h"

#include <algorithm>

namespace almond {

request_filter MakeDeadlineFilter(const clock_interface& clock) {
  return [&clock](request_context& request) -> std::optional<refusal> {
    const milliseconds timeout =
        std::min(request.timeout.value_or(request.config->default_timeout),
                 request.config->max_timeout);
    request.deadline = clock.SteadyNow() + timeout;
    return std::nullopt;
  };
}

}  // namespace almond
