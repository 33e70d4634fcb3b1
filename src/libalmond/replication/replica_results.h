#ifndef ALMOND_REPLICATION_REPLICA_RESULTS_H_
#define ALMOND_REPLICATION_REPLICA_RESULTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "libalmond/core/clock.h"
#include "libalmond/replication/replica_identity.h"

namespace almond {

/// How a proposal ended.
enum class proposal_outcome : std::uint8_t {
  committed,   ///< committed and applied here
  not_leader,  ///< certainly not appended
  unknown      ///< leadership lost after the append; may commit later
};

/// End of a proposal.
struct proposal_result {
  proposal_outcome outcome = proposal_outcome::not_leader;
  std::string result;  ///< from the state machine; valid if `committed`
};

using proposal_hook = std::function<void(const proposal_result&)>;
/// Called with true once a read of the state machine is not stale, or with
/// false if this replica is not, or no longer, the leader.
using read_hook = std::function<void(bool confirmed)>;

enum class replica_role : std::uint8_t {
  follower,
  pre_candidate,
  candidate,
  leader
};

/// @returns the role's name for operators
constexpr const char* Name(replica_role role) {
  switch (role) {
    case replica_role::follower:
      return "follower";
    case replica_role::pre_candidate:
      return "pre-candidate";
    case replica_role::candidate:
      return "candidate";
    case replica_role::leader:
      return "leader";
  }
  return "";
}

/// State of one replica for operators.
struct replica_status {
  log_term term = 0;
  replica_role role = replica_role::follower;
  replica_id leader;  ///< empty if none is known
  log_index commit_index = 0;
  log_index applied = 0;
  log_index last = 0;
  log_index snapshot = 0;  ///< last entry that the snapshot covers
  std::size_t log_entries = 0;
  std::size_t log_bytes = 0;
  replica_incarnation incarnation;
  /// False for a replica that waits for admission or that was replaced.
  bool admitted = false;
  /// True if another incarnation took this one's place; its data folder has to
  /// be emptied.
  bool replaced = false;
  /// Admitted incarnation of each replica as of the commit index; a replica
  /// that is being replaced is absent.
  std::map<replica_id, replica_incarnation> members;
  /// When the leader last heard of each other replica; empty elsewhere.
  std::map<replica_id, steady_time> last_contact;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_REPLICA_RESULTS_H_
