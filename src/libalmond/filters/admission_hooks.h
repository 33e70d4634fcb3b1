#ifndef ALMOND_FILTERS_ADMISSION_HOOKS_H_
#define ALMOND_FILTERS_ADMISSION_HOOKS_H_

#include <functional>

#include "libalmond/controllers/entry/service_load.h"
#include "libalmond/core/identifiers.h"
#include "libalmond/core/task.h"

namespace almond {

/// What the admission filters ask of the entry's controllers.
struct admission_hooks {
  /// Load of a service, seen from a team.
  std::function<service_load(const service_id&, const team_id&)> load;
  /// True if some endpoint of the service is large enough.
  std::function<bool(const service_id&, const task_size&)> fits;
  /// Queued tasks of a team over all services.
  std::function<std::size_t(const team_id&)> team_queued;
  /// Told of each refusal for lack of slots.
  std::function<void(const service_id&)> on_overload;
};

}  // namespace almond

#endif  // ALMOND_FILTERS_ADMISSION_HOOKS_H_
