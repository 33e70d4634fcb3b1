#include "libalmond/filters/overload_filter.h"

namespace almond {

request_filter MakeOverloadFilter(admission_hooks state,
                                  const clock_interface& clock) {
  return [state = std::move(state),
          &clock](request_context& request) -> std::optional<refusal> {
    const service_load load = state.load(request.service, request.team);
    const duration left = request.deadline - clock.SteadyNow();
    if (CanMeetDeadline(load, request.tasks.size(), left)) return std::nullopt;
    state.on_overload(request.service);
    return refusal{refusal_reason::overloaded, run_outcome::not_run, ""};
  };
}

}  // namespace almond
