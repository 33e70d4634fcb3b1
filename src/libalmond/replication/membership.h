#ifndef ALMOND_REPLICATION_MEMBERSHIP_H_
#define ALMOND_REPLICATION_MEMBERSHIP_H_

#include <cstddef>
#include <map>
#include <vector>

#include "libalmond/replication/replica_identity.h"

namespace almond {

/// The voting incarnation of each replica. Changes one replica at a time. To
/// replace a replica, its incarnation is retired first, which leaves the
/// replica's place vacant, then the successor is admitted. A new place is added
/// together with its voter. The quorum is always a majority of all places,
/// vacant ones included, so any quorum before a change overlaps any quorum
/// after it.
struct membership {
  std::map<replica_id, replica_incarnation> voters;
  /// Incarnation to be admitted next to each vacant place.
  std::map<replica_id, replica_incarnation> successors;
  /// Incarnations that may never vote again.
  std::map<replica_id, std::vector<replica_incarnation>> retired;
  std::size_t places = 0;  ///< number of replicas, vacant places included

  /// @param founders the replicas that form a new cluster
  /// @param places number of replicas; the places beyond those of the founders
  ///   are vacant
  /// @returns the membership of a newly bootstrapped cluster
  static membership Bootstrap(const std::vector<replica_id>& founders,
                              std::size_t places);

  std::size_t Quorum() const { return places / 2 + 1; }
  bool IsVoter(const replica_id& id, replica_incarnation incarnation) const;
  bool IsRetired(const replica_id& id, replica_incarnation incarnation) const;
  /// @returns the voting incarnation, or 0 if the place is vacant
  replica_incarnation VoterOf(const replica_id& id) const;
  /// Retires the replica's incarnation and sets its successor.
  void Replace(const replica_id& id, replica_incarnation successor);
  /// @returns true if the replica is a voter or will be the next one at its
  ///   place; false for the places that were left vacant at the bootstrap
  bool HasPlace(const replica_id& id) const {
    return voters.count(id) != 0 || successors.count(id) != 0;
  }
  /// Adds a place with its voter, unless the replica has one.
  void Add(const replica_id& id, replica_incarnation incarnation);
  /// Makes the incarnation a voter.
  void Admit(const replica_id& id, replica_incarnation incarnation);

  bool operator==(const membership&) const = default;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_MEMBERSHIP_H_
