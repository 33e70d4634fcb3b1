#ifndef ALMOND_CONTROLLERS_ENTRY_SERVICE_LOAD_H_
#define ALMOND_CONTROLLERS_ENTRY_SERVICE_LOAD_H_

#include <cstddef>
#include <optional>

#include "libalmond/core/clock.h"

namespace almond {

/// Load of a service and of a team within it, as input of admission.
struct service_load {
  std::size_t agents = 0;       ///< connected agents with slots
  std::size_t queued = 0;       ///< tasks queued for the service
  std::size_t team_queued = 0;  ///< of these, tasks of the team
  std::size_t grants = 0;       ///< unused grants held by the entry
  double team_share = 1;        ///< the team's share of the rate, 0 to 1
  /// Measured rate; empty before the first measurement.
  std::optional<double> tasks_per_second;
  duration run_time_p90{0};  ///< 90th percentile of recent run times
};

/// @param tasks number of tasks of the submission to be admitted
/// @returns time until its last task starts; 0 before the first measurement
duration ExpectedWait(const service_load& load, std::size_t tasks);

/// @param tasks number of tasks of the submission to be admitted
/// @param time_left time until its deadline
/// @returns true if its last task can start, and probably end, before the
///   deadline
bool CanMeetDeadline(const service_load& load, std::size_t tasks,
                     duration time_left);

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_SERVICE_LOAD_H_
