#ifndef ALMOND_REPLICATION_REPLICA_RESULTS_H_
#define ALMOND_REPLICATION_REPLICA_RESULTS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "libalmond/core/clock.h"
#include "libalmond/replication/replica_identity.h"

namespace almond {

/// Outcome of a proposal.
enum class proposal_outcome : std::uint8_t {
  committed,   ///< committed and applied at this replica
  not_leader,  ///< not appended, so it will never commit
  unknown      ///< leadership was lost after the append; may commit later
};

/// Result of a proposal.
struct proposal_result {
  proposal_outcome outcome = proposal_outcome::not_leader;
  std::string result;  ///< the state machine's; set only if `committed`
};

using proposal_hook = std::function<void(const proposal_result&)>;
/// Called with true once the state machine may be read without being stale, or
/// with false if this replica is not, or no longer, the leader.
using read_hook = std::function<void(bool confirmed)>;

enum class replica_role : std::uint8_t {
  follower,
  pre_candidate,
  candidate,
  leader
};

/// @returns the role's name as shown to operators
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

/// Status of one replica, for operators.
struct replica_status {
  log_term term = 0;
  replica_role role = replica_role::follower;
  replica_id leader;  ///< empty if unknown
  log_index commit_index = 0;
  log_index applied_index = 0;
  log_index last_index = 0;
  log_index snapshot_index = 0;  ///< last entry covered by the snapshot
  std::size_t log_entries = 0;
  std::size_t log_bytes = 0;
  replica_incarnation incarnation;
  /// False while the replica waits for admission and after it was replaced.
  bool admitted = false;
  /// True if another incarnation has replaced this one; the data folder must
  /// then be emptied.
  bool replaced = false;
  /// Admitted incarnation of each replica at the commit index, without replicas
  /// that are being replaced.
  std::map<replica_id, replica_incarnation> members;
  /// Number of replicas, vacant places included; a majority of them commits.
  std::size_t places = 0;
  /// Voters that have synced the log up to the commit index, including this
  /// replica; known only on the leader.
  std::size_t synced_copies = 0;
  /// Time of the leader's last contact with each other replica; empty unless
  /// this replica is the leader.
  std::map<replica_id, steady_time> last_contact;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_REPLICA_RESULTS_H_
