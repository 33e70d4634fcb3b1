#include "libalmond/filters/size_filter.h"

namespace almond {

request_filter MakeSizeFilter() {
  return [](request_context& request) -> std::optional<refusal> {
    if (request.tasks.size() > request.config->max_tasks_per_job) {
      return refusal{refusal_reason::too_many_tasks, run_outcome::not_run,
                     "at most " +
                         std::to_string(request.config->max_tasks_per_job) +
                         " tasks"};
    }
    for (const task_request& task : request.tasks) {
      if (task.body.size() <= request.config->max_body_bytes) continue;
      return refusal{refusal_reason::body_too_large, run_outcome::not_run,
                     "at most " +
                         std::to_string(request.config->max_body_bytes) +
                         " bytes"};
    }
    return std::nullopt;
  };
}

}  // namespace almond
