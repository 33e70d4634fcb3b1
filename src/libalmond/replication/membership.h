#ifndef ALMOND_REPLICATION_MEMBERSHIP_H_
#define ALMOND_REPLICATION_MEMBERSHIP_H_

#include <cstddef>
#include <map>
#include <vector>

#include "libalmond/replication/replica_identity.h"

namespace almond {

/// Which incarnation of each replica counts towards a majority. Changes one
/// replica at a time: an incarnation is first replaced (its place is vacant),
/// then its successor is admitted. The quorum is always a majority of all
/// places, so the quorums before and after one change have a member in common.
struct membership {
  std::map<replica_id, replica_incarnation> voters;
  /// Successor named by the replacement of a place that is vacant.
  std::map<replica_id, replica_incarnation> successors;
  /// Incarnations that never count again.
  std::map<replica_id, std::vector<replica_incarnation>> retired;
  std::size_t places = 0;

  /// @param replicas all replica ids
  /// @returns the members of a newly bootstrapped cluster
  static membership Bootstrap(const std::vector<replica_id>& replicas);

  std::size_t Quorum() const { return places / 2 + 1; }
  bool IsVoter(const replica_id& id, replica_incarnation incarnation) const;
  bool IsRetired(const replica_id& id, replica_incarnation incarnation) const;
  /// @returns the incarnation that counts, or 0 if the place is vacant
  replica_incarnation VoterOf(const replica_id& id) const;
  /// Retires the place's incarnation and names the successor.
  void Replace(const replica_id& id, replica_incarnation successor);
  /// Makes the incarnation count.
  void Admit(const replica_id& id, replica_incarnation incarnation);

  bool operator==(const membership&) const = default;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_MEMBERSHIP_H_
