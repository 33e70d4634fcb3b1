#ifndef ALMOND_CORE_TASK_H_
#define ALMOND_CORE_TASK_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

#include "libalmond/core/clock.h"
#include "libalmond/core/identifiers.h"
#include "libalmond/core/uuid.h"

namespace almond {

/// Names a task for its whole life: the submission and the task's position.
struct task_name {
  uuid submission;
  std::uint32_t index = 0;

  auto operator<=>(const task_name&) const = default;
};

/// @returns the id used in the endpoint's task paths
std::string ToString(const task_name& name);

inline std::ostream& operator<<(std::ostream& out, const task_name& name) {
  return out << ToString(name);
}

/// What the caller declared about a task, or what was learnt from its kind.
/// Zero means nothing was declared.
struct task_size {
  milliseconds run_time{0};
  std::uint32_t cpu_milli = 0;   ///< thousandths of a core
  std::uint32_t memory_mib = 0;  ///< mebibytes

  bool operator==(const task_size&) const = default;
};

/// A task as an entry queues it.
struct task {
  task_name name;
  owner_epoch epoch;
  service_id service;
  team_id team;
  request_kind kind;
  std::string body;
  task_size size;
  steady_time deadline;
  /// True if the submission carries a caller's id, so that agents keep its
  /// answer for a resubmission.
  bool named_submission = false;
};

}  // namespace almond

template <>
struct std::hash<almond::task_name> {
  std::size_t operator()(const almond::task_name& name) const noexcept {
    return name.submission.Hash() * 31 + name.index;
  }
};

#endif  // ALMOND_CORE_TASK_H_
