#include "libalmond/filters/quota_filter.h"

namespace almond {

request_filter MakeQuotaFilter(
    admission_hooks admission,
    std::function<const data_centre_config*()> config) {
  return [admission = std::move(admission), config = std::move(config)](
             request_context& request) -> std::optional<refusal> {
    const team_config& team = config()->teams.at(request.team);
    const std::size_t queued = admission.team_queued(request.team);
    if (queued + request.tasks.size() <= team.max_queued_tasks) {
      return std::nullopt;
    }
    return refusal{
        refusal_reason::team_quota, run_outcome::not_run,
        "at most " + std::to_string(team.max_queued_tasks) + " queued tasks"};
  };
}

}  // namespace almond
