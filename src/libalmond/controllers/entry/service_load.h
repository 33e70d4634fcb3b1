#ifndef ALMOND_CONTROLLERS_ENTRY_SERVICE_LOAD_H_
#define ALMOND_CONTROLLERS_ENTRY_SERVICE_LOAD_H_

#include <cstddef>
#include <optional>

#include "libalmond/core/clock.h"

namespace almond {

/// What admission needs to know about a service and a team.
struct service_load {
  std::size_t agents = 0;       ///< connected agents with slots
  std::size_t queued = 0;       ///< tasks queued for the service
  std::size_t team_queued = 0;  ///< of these, tasks of the team
  std::size_t grants = 0;       ///< unused grants held
  double team_share = 1;        ///< the team's part of the rate, 0 to 1
  /// Tasks per second; empty before anything was measured.
  std::optional<double> per_second;
  duration run_time_p90{0};  ///< of recent tasks
};

/// @param load measured state
/// @param tasks number of tasks of one more submission
/// @returns time until its last task starts; 0 if nothing was measured yet
duration ExpectedWait(const service_load& load, std::size_t tasks);

/// @param load measured state
/// @param tasks number of tasks of one more submission
/// @param time_left until its deadline
/// @returns true if its last task can start and probably end in time
bool CanMeetDeadline(const service_load& load, std::size_t tasks,
                     duration time_left);

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_SERVICE_LOAD_H_
