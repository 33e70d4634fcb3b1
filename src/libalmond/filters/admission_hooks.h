#ifndef ALMOND_FILTERS_ADMISSION_HOOKS_H_
#define ALMOND_FILTERS_ADMISSION_HOOKS_H_

#include <functional>

#include "libalmond/controllers/entry/service_load.h"
#include "libalmond/core/identifiers.h"
#include "libalmond/core/task.h"

namespace almond {

/// Queries and notifications of the admission filters to the entry's
/// controllers.
struct admission_hooks {
  /// Load of a service as seen by a team.
  std::function<service_load(const service_id&, const team_id&)> load;
  /// True if an endpoint of the service is large enough.
  std::function<bool(const service_id&, const task_size&)> fits;
  /// Number of the team's queued tasks over all services.
  std::function<std::size_t(const team_id&)> team_queued;
  /// Called for each refusal due to overload.
  std::function<void(const service_id&)> on_overload;
};

}  // namespace almond

#endif  // ALMOND_FILTERS_ADMISSION_HOOKS_H_
