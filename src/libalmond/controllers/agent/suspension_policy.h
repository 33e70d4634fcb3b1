#ifndef ALMOND_CONTROLLERS_AGENT_SUSPENSION_POLICY_H_
#define ALMOND_CONTROLLERS_AGENT_SUSPENSION_POLICY_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>

#include "libalmond/core/clock.h"

namespace almond {

/// Policy hooks of the suspension controller; replaceable, so that benchmarks
/// can compare policies.
struct suspension_policy {
  static constexpr milliseconds kSuspendAfter{2000};

  /// @returns the run time after which a task counts as aged and may be paused;
  ///   empty if tasks are never paused, so that they run first in, first out
  std::function<std::optional<milliseconds>()> suspend_after = [] {
    return std::optional<milliseconds>(kSuspendAfter);
  };
  /// @returns slots reserved for aged tasks while suspended tasks wait: a tenth
  ///   and at least one, so that long tasks do not starve; none under overload
  std::function<std::uint32_t(std::uint32_t slots, bool overloaded)>
      reserved_slots = [](std::uint32_t slots, bool overloaded) {
        return overloaded ? 0U : std::max(1U, slots / 10);
      };
  /// @returns slots that aged tasks may hold on an endpoint without pause; from
  ///   then on, tasks of kinds that run long are refused
  std::function<std::uint32_t(std::uint32_t slots)> long_slots =
      [](std::uint32_t slots) { return std::max(1U, slots * 7 / 10); };
  /// @returns limit on concurrently suspended tasks; bounds the memory of tasks
  ///   that declare no size
  std::function<std::uint32_t(std::uint32_t slots)> max_suspended =
      [](std::uint32_t slots) { return 8 * slots; };
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_SUSPENSION_POLICY_H_
