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

/// Identifies a task: its submission and its position within it.
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

/// Size of a task as declared by the caller or learnt from tasks of its kind;
/// zero if unknown.
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
  /// True if the caller chose the submission's id; agents then keep the answer
  /// for a resubmission.
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
