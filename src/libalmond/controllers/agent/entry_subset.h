#ifndef ALMOND_CONTROLLERS_AGENT_ENTRY_SUBSET_H_
#define ALMOND_CONTROLLERS_AGENT_ENTRY_SUBSET_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/control_messages.h"

namespace almond {

/// Chooses the entries that an agent connects to, so that the number of links
/// of an agent and of an entry does not grow with the number of machines. Half
/// of them are in the agent's data centre, the other half in others, so that
/// data centres whose load peaks at different times share their endpoints, and
/// a data centre that is cut off serves its callers with its own.
///
/// Entries are ranked by a hash of the agent and the entry (rendezvous
/// hashing): agents choose independently, links are spread evenly, and an entry
/// that comes or goes changes only its own links.
class entry_subset {
 public:
  /// Number of agents with the same kind of endpoints that each entry reaches,
  /// if there are that many.
  static constexpr std::size_t kAgentsPerEntry = 32;
  static constexpr std::size_t kMinEntries = 4;
  /// Number of entries while the number of agents is unknown.
  static constexpr std::size_t kDefaultEntries = 8;
  /// Time after which the link to an entry that is not chosen any more is
  /// retired. Longer than a new leader needs to hear from all entries.
  static constexpr milliseconds kRetirementDelay{4000};

  struct hooks {
    /// @returns true if there is a link to the entry
    std::function<bool(const entry_address&)> connected;
  };

  /// @param clock source of time; outlives the subset
  entry_subset(const clock_interface& clock, agent_id self,
               data_centre_id own_data_centre, hooks callbacks);

  /// Handles a list of live entries. Entries that are not listed are kept while
  /// there is a link to them, as a new leader lists only those that it has
  /// heard from.
  /// @param alike_agents number of live agents with the same kind of endpoints,
  ///   0 if unknown
  void Update(const std::vector<entry_address>& live, std::size_t alike_agents);

  /// @returns the entries to connect to
  const std::vector<entry_address>& Chosen() const { return chosen_; }
  /// @returns the connected entries whose links are to be closed once they are
  ///   unused
  std::vector<entry_address> Retired() const;

 private:
  struct candidate {
    entry_address entry;
    std::string rank;
    /// Time since which it has not been chosen; empty if it is.
    std::optional<steady_time> left_out;
  };

  void KeepKnown(const std::vector<entry_address>& live);
  std::vector<candidate*> RankedCandidates();
  std::size_t Degree(std::size_t entries, std::size_t alike_agents) const;

  const clock_interface& clock_;
  agent_id self_;
  data_centre_id own_data_centre_;
  hooks hooks_;
  std::map<entry_id, candidate> candidates_;
  std::vector<entry_address> chosen_;
  std::size_t last_degree_ = kDefaultEntries;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_ENTRY_SUBSET_H_
