#include "libalmond/filters/team_filter.h"

namespace almond {

request_filter MakeTeamFilter(
    std::function<const data_centre_config*()> config) {
  return [config = std::move(config)](
             request_context& request) -> std::optional<refusal> {
    if (request.team.Empty()) request.team = request.config->team;
    if (config()->teams.count(request.team) > 0) return std::nullopt;
    return refusal{refusal_reason::unknown_team, run_outcome::not_run,
                   "team " + request.team.Value()};
  };
}

}  // namespace almond
