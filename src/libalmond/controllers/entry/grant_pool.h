#ifndef ALMOND_CONTROLLERS_ENTRY_GRANT_POOL_H_
#define ALMOND_CONTROLLERS_ENTRY_GRANT_POOL_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/identifiers.h"

namespace almond {

/// A grant with the agent that gave it.
struct held_grant {
  link_id agent;
  grant_id grant;
};

/// Unused grants that an entry holds for one service.
class grant_pool {
 public:
  /// Part of a lease that is not used, to cover the transfer time of the grant
  /// and the start.
  static constexpr milliseconds kLeaseMargin{300};

  /// Ranks an agent for the next start: the highest value wins, and an empty
  /// result excludes the agent for now.
  using rank_hook =
      std::function<std::optional<double>(link_id agent, std::size_t held)>;

  grant_pool(const clock_interface& clock, rank_hook rank)
      : clock_(clock), rank_(std::move(rank)) {}

  /// @param lease counted from the time at which the agent sent it
  void Add(link_id agent, grant_id grant, milliseconds lease);
  /// @param fits returns true for agents that can run the task
  /// @param avoid agent whose grants are used only if no other agent that fits
  ///   has any
  /// @returns the grant of the best agent, or nothing
  std::optional<held_grant> Take(const std::function<bool(link_id)>& fits,
                                 std::optional<link_id> avoid);
  /// Removes unused grants in order to return them.
  /// @param agent the agent that recalls them
  /// @param count limit of the number of grants removed
  std::vector<grant_id> TakeForReturn(link_id agent, std::uint32_t count);
  /// Extends the leases of all grants of an agent.
  /// @param lease counted from the time at which the agent sent it
  void Renew(link_id agent, milliseconds lease);
  /// Removes the grants of a disconnected agent.
  void RemoveAgent(link_id agent);
  /// @returns number of grants of an agent
  std::size_t CountOf(link_id agent) const;
  /// @returns number of usable grants
  std::size_t size();

 private:
  struct leased_grant {
    grant_id grant;
    steady_time expiry;
  };
  void DropExpired();
  void UpdateNextExpiry(steady_time expiry) {
    next_expiry_ = std::min(next_expiry_, expiry);
  }

  const clock_interface& clock_;
  rank_hook rank_;
  std::map<link_id, std::deque<leased_grant>> agents_;
  /// No grant expires before this time, so the pool is not scanned earlier.
  steady_time next_expiry_ = steady_time::max();
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_GRANT_POOL_H_
