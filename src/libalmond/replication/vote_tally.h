#ifndef ALMOND_REPLICATION_VOTE_TALLY_H_
#define ALMOND_REPLICATION_VOTE_TALLY_H_

#include <set>
#include <utility>

#include "libalmond/replication/membership.h"

namespace almond {

/// Counts the votes granted to a candidate in one election or pre-vote.
class vote_tally {
 public:
  void Reset() { granted_.clear(); }
  void Grant(const replica_id& id, replica_incarnation incarnation) {
    granted_.emplace(id, incarnation);
  }
  /// @returns true if a quorum of the voters has granted its votes
  bool HasQuorum(const membership& members) const {
    std::size_t votes = 0;
    for (const auto& [id, incarnation] : granted_) {
      if (members.IsVoter(id, incarnation)) ++votes;
    }
    return votes >= members.Quorum();
  }

 private:
  std::set<std::pair<replica_id, replica_incarnation>> granted_;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_VOTE_TALLY_H_
