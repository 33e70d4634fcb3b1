#ifndef ALMOND_CONTROLLERS_AGENT_TASK_CONTROL_H_
#define ALMOND_CONTROLLERS_AGENT_TASK_CONTROL_H_

#include <cstdint>
#include <string_view>

#include "libalmond/core/identifiers.h"

namespace almond {

/// Names one start on an endpoint. A task name can be started again after a
/// truthful refusal, so that results of calls are told apart by this number.
using run_id = typed_number<struct run_tag>;

/// A control request for a running task.
enum class task_control : std::uint8_t { pause, resume, checkpoint, stop };

/// How a control request ended.
enum class task_control_result : std::uint8_t {
  done,      ///< the endpoint confirmed it
  rejected,  ///< the endpoint said no, or saw nothing; the task is unchanged
  failed     ///< not known; the task may or may not have changed
};

/// @returns the name in the endpoint's paths and in counters
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
