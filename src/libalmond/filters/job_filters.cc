#include "libalmond/filters/job_filters.h"

#include <utility>

namespace almond {

filter_of<job_context> MakeRouteFilter(const route_holder& routes) {
  return [&routes](job_context& request) -> std::optional<refusal> {
    request.routes = routes.Routes();
    if (!request.routes) {
      return refusal{refusal_reason::no_configuration, run_outcome::not_run,
                     "no configuration is in force yet"};
    }
    request.rule = FindRoute(*request.routes, request.host, request.path);
    if (request.rule != nullptr) {
      request.name = request.path.substr(request.rule->path_prefix.size());
      return std::nullopt;
    }
    if (!routes.Fresh()) {
      return refusal{refusal_reason::no_configuration, run_outcome::not_run,
                     "the configuration in force may be out of date"};
    }
    return refusal{refusal_reason::unknown_path, run_outcome::not_run,
                   "no route for this host and path"};
  };
}

filter_of<job_context> MakeJobDrainingFilter(std::function<bool()> draining) {
  return [draining = std::move(draining)](
             job_context& request) -> std::optional<refusal> {
    if (request.verb != job_verb::submit || !draining()) return std::nullopt;
    return refusal{refusal_reason::draining, run_outcome::not_run,
                   "the process is shutting down"};
  };
}

filter_of<job_context> MakeJobBodyFilter(job_decoder decode) {
  return [decode = std::move(decode)](
             job_context& request) -> std::optional<refusal> {
    if (request.verb != job_verb::submit) return std::nullopt;
    auto decoded = decode(request);
    if (auto* refused = std::get_if<refusal>(&decoded)) {
      return std::move(*refused);
    }
    request.job = std::move(std::get<job_request>(decoded));
    return std::nullopt;
  };
}

}  // namespace almond
