#ifndef ALMOND_REPLICATION_FOLLOWER_PROGRESS_H_
#define ALMOND_REPLICATION_FOLLOWER_PROGRESS_H_

#include <cstdint>
#include <optional>

#include "libalmond/core/clock.h"
#include "libalmond/replication/replica_identity.h"

namespace almond {

/// The leader's replication progress for one other replica.
class follower_progress {
 public:
  follower_progress(log_index next, steady_time now)
      : next_(next), last_contact_(now) {}

  /// Records a reply. A new incarnation resets the match index, the rounds and
  /// the chunk in flight.
  /// @param incarnation of the sender
  /// @param round of the request that was answered
  /// @param current the leader's latest round
  void RecordReply(replica_incarnation incarnation, std::uint64_t round,
                   std::uint64_t current, steady_time now);
  /// Records that the replica's log is synced and equal to the leader's up to
  /// this index.
  void RecordMatch(log_index index);
  /// Records that the replica needs the entries from this index on.
  void RecordMismatch(log_index from);
  /// Records that entries up to this index were sent.
  void RecordSent(log_index last) { next_ = last + 1; }

  /// Records how many bytes of a snapshot the replica has received.
  /// @returns true if the chunk at this offset should be sent, because it was
  ///   not sent yet or its reply has timed out; the chunk then counts as sent
  bool IsChunkDue(log_index snapshot, std::uint64_t offset, steady_time now);

  replica_incarnation Incarnation() const { return incarnation_; }
  log_index NextIndex() const { return next_; }
  log_index MatchIndex() const { return match_; }
  /// @returns the latest round that the replica has answered
  std::uint64_t Round() const { return round_; }
  steady_time LastContact() const { return last_contact_; }
  /// @returns true if the incarnation has answered a request that was sent
  ///   after its first message. Delayed messages of a disk that has since been
  ///   emptied cannot do that.
  bool IsLive() const { return round_ > incarnation_start_round_; }
  std::uint64_t SnapshotOffset(log_index snapshot) const {
    return snapshot == snapshot_ ? offset_ : 0;
  }

 private:
  log_index next_;
  log_index match_ = 0;
  replica_incarnation incarnation_;
  std::uint64_t round_ = 0;
  std::uint64_t incarnation_start_round_ = 0;
  steady_time last_contact_;
  log_index snapshot_ = 0;
  std::uint64_t offset_ = 0;
  std::optional<std::uint64_t> sent_offset_;
  steady_time chunk_sent_;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_FOLLOWER_PROGRESS_H_
