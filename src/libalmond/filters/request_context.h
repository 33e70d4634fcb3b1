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

/// One task as sent by the caller.
struct task_request {
  std::string body;
  task_size size;
};

/// A caller's request in the filter chain. The front end sets the first group
/// of members, the filters the second.
struct request_context {
  service_id service;
  request_kind kind;  ///< value of the Almond-Kind header; empty without it
  team_id team;       ///< empty selects the service's own team
  std::optional<uuid> submission;  ///< set if the caller chose the id
  std::optional<milliseconds> timeout;
  bool is_job = false;
  std::vector<task_request> tasks;

  /// Settings of the service; valid until the current callback returns.
  const service_config* config = nullptr;
  bool idempotent = false;
  steady_time deadline;
};

}  // namespace almond

#endif  // ALMOND_FILTERS_REQUEST_CONTEXT_H_
