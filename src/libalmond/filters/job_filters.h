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

/// Operation that a caller requests on a route.
enum class job_verb : std::uint8_t { submit, look_up, cancel, unknown };

/// A request for a route, completed by the filters that pass it.
struct job_context {
  job_verb verb = job_verb::unknown;
  std::string host;
  std::string path;
  /// Set by the route filter; `rule` points into `routes`.
  std::shared_ptr<const route_config> routes;
  const route* rule = nullptr;
  std::string name;  ///< path after the route's prefix: the job's name
  /// Set by the body filter.
  std::optional<job_request> job;
};

/// Decodes a job from a request's body.
using job_decoder =
    std::function<std::variant<job_request, refusal>(const job_context&)>;

/// Finds the route by host and longest path prefix. While the routes may be out
/// of date, a missing route does not prove that there is none, so the request
/// is refused as `no_configuration` instead of `unknown_path`.
filter_of<job_context> MakeRouteFilter(const route_holder& routes);
/// Refuses new jobs once the process no longer accepts any; other operations
/// pass.
filter_of<job_context> MakeJobDrainingFilter(std::function<bool()> draining);
/// Decodes the body of a submitted job.
filter_of<job_context> MakeJobBodyFilter(job_decoder decode);

}  // namespace almond

#endif  // ALMOND_FILTERS_JOB_FILTERS_H_
