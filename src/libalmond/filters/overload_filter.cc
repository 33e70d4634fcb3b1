#include "libalmond/filters/overload_filter.h"

namespace almond {

request_filter MakeOverloadFilter(admission_hooks admission,
                                  const clock_interface& clock) {
  return [admission = std::move(admission),
          &clock](request_context& request) -> std::optional<refusal> {
    const service_load load = admission.load(request.service, request.team);
    const duration left = request.deadline - clock.SteadyNow();
    if (CanMeetDeadline(load, request.tasks.size(), left)) return std::nullopt;
    admission.on_overload(request.service);
    return refusal{refusal_reason::overloaded, run_outcome::not_run, ""};
  };
}

}  // namespace almond
