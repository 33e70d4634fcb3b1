#include "libalmond/filters/capacity_filter.h"

namespace almond {

request_filter MakeCapacityFilter(admission_hooks admission) {
  return [admission = std::move(admission)](
             request_context& request) -> std::optional<refusal> {
    for (std::size_t i = 0; i < request.tasks.size(); ++i) {
      const task_size& size = request.tasks[i].size;
      if (size.cpu_milli == 0 && size.memory_mib == 0) continue;
      if (admission.fits(request.service, size)) continue;
      return refusal{
          refusal_reason::exceeds_capacity, run_outcome::not_run,
          "tasks[" + std::to_string(i) + "] is larger than any endpoint"};
    }
    return std::nullopt;
  };
}

}  // namespace almond
