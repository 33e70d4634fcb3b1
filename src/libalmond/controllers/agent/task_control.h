#ifndef ALMOND_CONTROLLERS_AGENT_TASK_CONTROL_H_
#define ALMOND_CONTROLLERS_AGENT_TASK_CONTROL_H_

#include <cstdint>
#include <string_view>

#include "libalmond/core/identifiers.h"

namespace almond {

/// Identifies one start on an endpoint. A task that was refused without being
/// run can be started again under the same name; this number tells the results
/// of such starts apart.
using run_id = typed_number<struct run_tag>;

/// A control request for a running task.
enum class task_control : std::uint8_t { pause, resume, checkpoint, stop };

/// Result of a control request.
enum class task_control_result : std::uint8_t {
  done,      ///< the endpoint has confirmed the request
  rejected,  ///< request refused or not received; the task is unchanged
  failed     ///< result unknown; the task may have changed
};

/// @returns the name used in the endpoint's URL paths and in metric labels
constexpr std::string_view Name(task_control control) {
  switch (control) {
    case task_control::pause:
      return "pause";
    case task_control::resume:
      return "resume";
    case task_control::checkpoint:
      return "checkpoint";
    case task_control::stop:
      break;
  }
  return "stop";
}

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_TASK_CONTROL_H_
