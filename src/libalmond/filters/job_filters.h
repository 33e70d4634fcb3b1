#ifndef ALMOND_FILTERS_JOB_FILTERS_H_
#define ALMOND_FILTERS_JOB_FILTERS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "libalmond/controllers/route_holder.h"
#include "libalmond/core/job_messages.h"
#include "libalmond/filters/filter_chain.h"

namespace almond {

/// What a caller asks of a route.
enum class job_verb : std::uint8_t { submit, look_up, cancel, unknown };

/// A caller's request for a route, completed by the filters that it passes.
struct job_context {
  job_verb verb = job_verb::unknown;
  std::string host;
  std::string path;
  /// Set by the route filter; `rule` points into `routes`.
  std::shared_ptr<const route_config> routes;
  const route* rule = nullptr;
  std::string name;  ///< path after the route's prefix
  /// Set by the body filter.
  std::optional<job_request> job;
};

/// Reads a job from a request's body.
using job_decoder =
    std::function<std::variant<job_request, refusal>(const job_context&)>;

/// Finds the route by host and longest prefix. While the routes may be out of
/// date, a missing one is no proof that there is none.
filter_of<job_context> MakeRouteFilter(const route_holder& routes);
/// Refuses jobs, which are new work, once the process no longer takes any.
filter_of<job_context> MakeJobDrainingFilter(std::function<bool()> draining);
/// Reads the body of a job.
filter_of<job_context> MakeJobBodyFilter(job_decoder decode);

}  // namespace almond

#endif  // ALMOND_FILTERS_JOB_FILTERS_H_
