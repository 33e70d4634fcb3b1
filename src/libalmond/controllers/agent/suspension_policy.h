#ifndef ALMOND_CONTROLLERS_AGENT_SUSPENSION_POLICY_H_
#define ALMOND_CONTROLLERS_AGENT_SUSPENSION_POLICY_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>

#include "libalmond/core/clock.h"

namespace almond {

/// Choices of the suspension controller, replaceable for comparisons.
struct suspension_policy {
  static constexpr milliseconds kSuspendAfter{2000};

  /// @returns run time from which a task is aged and may be paused, or nothing
  ///   to pause no task (first in, first out)
  std::function<std::optional<milliseconds>()> suspend_after = [] {
    return std::optional<milliseconds>(kSuspendAfter);
  };
  /// @returns slots that aged work keeps while aged work waits; one in ten and
  ///   at least one, so that no straggler starves, and none in an overload
  std::function<std::uint32_t(std::uint32_t slots, bool overloaded)>
      reserved_slots = [](std::uint32_t slots, bool overloaded) {
        return overloaded ? 0U : std::max(1U, slots / 10);
      };
  /// @returns slots that aged tasks may hold, on an endpoint without pause,
  ///   before kinds that were observed to be long get no new start
  std::function<std::uint32_t(std::uint32_t slots)> long_slots =
      [](std::uint32_t slots) { return std::max(1U, slots * 7 / 10); };
  /// @returns tasks that may be suspended at a time; bounds the memory of
  ///   tasks that declare no size
  std::function<std::uint32_t(std::uint32_t slots)> max_suspended =
      [](std::uint32_t slots) { return 8 * slots; };
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_SUSPENSION_POLICY_H_
