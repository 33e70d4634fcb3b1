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

/// A grant held by an entry.
struct held_grant {
  link_id agent;
  grant_id grant;
};

/// Grants that one entry holds for one service.
class grant_pool {
 public:
  /// Part of a lease that is left unused, for the time that the grant and the
  /// start spend on the way.
  static constexpr milliseconds kLeaseMargin{300};

  /// Ranks an agent for the next start; larger is better, and nothing excludes
  /// the agent for now.
  using rank_hook =
      std::function<std::optional<double>(link_id agent, std::size_t held)>;

  grant_pool(const clock_interface& clock, rank_hook rank)
      : clock_(clock), rank_(std::move(rank)) {}

  /// @param lease time from the agent's sending
  void Add(link_id agent, grant_id grant, milliseconds lease);
  /// @param fits tells agents that can run the task at hand
  /// @param avoid agent that is used only if no other one is left
  /// @returns the grant to use next, or nothing
  std::optional<held_grant> Take(const std::function<bool(link_id)>& fits,
                                 std::optional<link_id> avoid);
  /// Takes unused grants to return them.
  /// @param agent the agent that asks
  /// @param count how many it asks for at most
  std::vector<grant_id> TakeForReturn(link_id agent, std::uint32_t count);
  /// Extends the leases of all grants of an agent.
  /// @param lease time from the agent's sending
  void Renew(link_id agent, milliseconds lease);
  /// Drops the grants of an agent whose connection has ended.
  void RemoveAgent(link_id agent);
  /// @returns number of usable grants
  std::size_t size();

 private:
  struct item {
    grant_id grant;
    steady_time end;
  };
  void DropExpired();
  void NoteEnd(steady_time end) { next_end_ = std::min(next_end_, end); }

  const clock_interface& clock_;
  rank_hook rank_;
  std::map<link_id, std::deque<item>> agents_;
  /// No grant ends before, so that the agents need not be walked earlier.
  steady_time next_end_ = steady_time::max();
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_GRANT_POOL_H_
