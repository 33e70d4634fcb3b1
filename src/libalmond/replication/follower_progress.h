#ifndef ALMOND_REPLICATION_FOLLOWER_PROGRESS_H_
#define ALMOND_REPLICATION_FOLLOWER_PROGRESS_H_

#include <cstdint>
#include <optional>

#include "libalmond/core/clock.h"
#include "libalmond/replication/replica_identity.h"

namespace almond {

/// What a leader knows about one other replica.
class follower_progress {
 public:
  follower_progress(log_index next, steady_time now)
      : next_(next), last_contact_(now) {}

  /// Notes a reply. Values of another incarnation are forgotten.
  /// @param incarnation the sender's
  /// @param round of the request that it replies to
  /// @param current the leader's latest round
  void Hear(replica_incarnation incarnation, std::uint64_t round,
            std::uint64_t current, steady_time now);
  /// The replica's log equals the leader's up to this index, synced.
  void Match(log_index index);
  /// The replica lacks entries from this index on.
  void Reject(log_index from);
  void Sent(log_index last) { next_ = last + 1; }

  /// Notes the replica's offset in a snapshot.
  /// @returns true if a chunk at this offset is due: it was not sent yet, or
  ///   so long ago that it counts as lost
  bool ChunkDue(log_index snapshot, std::uint64_t offset, steady_time now);

  replica_incarnation Incarnation() const { return incarnation_; }
  log_index NextIndex() const { return next_; }
  log_index MatchIndex() const { return match_; }
  /// @returns the latest round that the replica has answered
  std::uint64_t Round() const { return round_; }
  steady_time LastContact() const { return last_contact_; }
  /// @returns true if the incarnation has answered a request that was sent
  ///   after it was first heard. A delayed message of an emptied disk never
  ///   does.
  bool ProvenLive() const { return round_ > first_round_; }
  std::uint64_t SnapshotOffset(log_index snapshot) const {
    return snapshot == snapshot_ ? offset_ : 0;
  }

 private:
  log_index next_;
  log_index match_ = 0;
  replica_incarnation incarnation_;
  std::uint64_t round_ = 0;
  std::uint64_t first_round_ = 0;
  steady_time last_contact_;
  log_index snapshot_ = 0;
  std::uint64_t offset_ = 0;
  std::optional<std::uint64_t> sent_offset_;
  steady_time chunk_sent_;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_FOLLOWER_PROGRESS_H_
