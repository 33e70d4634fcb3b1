#ifndef ALMOND_FILTERS_REQUEST_CONTEXT_H_
#define ALMOND_FILTERS_REQUEST_CONTEXT_H_

#include <optional>
#include <string>
#include <vector>

#include "libalmond/config/config_model.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/identifiers.h"
#include "libalmond/core/task.h"
#include "libalmond/core/uuid.h"

namespace almond {

/// One task as the caller sent it.
struct task_request {
  std::string body;
  task_size size;
};

/// A caller's request on its way through the filter chain. The front end sets
/// the first part, the filters complete the second.
struct request_context {
  service_id service;
  request_kind kind;               ///< empty without the Almond-Kind header
  team_id team;                    ///< empty for the service's own team
  std::optional<uuid> submission;  ///< set if the caller named it
  std::optional<milliseconds> timeout;
  bool is_job = false;
  std::vector<task_request> tasks;

  /// Settings of the service; valid until the loop's next callback.
  const service_config* config = nullptr;
  bool idempotent = false;
  steady_time deadline;
};

}  // namespace almond

#endif  // ALMOND_FILTERS_REQUEST_CONTEXT_H_
