#ifndef ALMOND_REPLICATION_REPLICA_LOG_H_
#define ALMOND_REPLICATION_REPLICA_LOG_H_

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "libalmond/replication/replication_messages.h"

namespace almond {

/// The in-memory log of one replica, with its latest snapshot and the
/// membership after each entry. Retains some entries covered by the snapshot,
/// for replicas that lag slightly.
class replica_log {
 public:
  /// @param initial membership before the first entry
  /// @param snapshot may be null
  /// @param entries the entries after the snapshot
  replica_log(membership initial,
              std::shared_ptr<const replica_snapshot> snapshot,
              const std::vector<log_entry>& entries);

  log_index Last() const { return before_first_ + entries_.size(); }
  log_term LastTerm() const { return TermAt(Last()); }
  /// @returns the index that precedes the entries in memory
  log_index BeforeFirst() const { return before_first_; }
  /// @returns true if TermAt may be called with the index
  bool Holds(log_index index) const {
    return index >= before_first_ && index <= Last();
  }
  log_term TermAt(log_index index) const;
  const log_entry& At(log_index index) const {
    return entries_[index - before_first_ - 1];
  }
  /// @returns the entries after `previous` up to `max_bytes` in all, but at
  ///   least one if there is any
  std::vector<log_entry> EntriesAfter(log_index previous,
                                      std::size_t max_bytes) const;
  std::vector<log_entry> EntriesAfter(log_index previous) const;

  void Append(log_entry entry);
  /// Removes the entries from this index on.
  void TruncateFrom(log_index index);
  /// @returns the first index with the same term as the entry at `index`, but
  ///   not below `lowest`
  log_index FirstOfTerm(log_index index, log_index lowest) const;

  /// @returns the membership after the last entry
  const membership& Members() const { return members_.rbegin()->second; }
  const membership& MembersAt(log_index index) const;
  /// @returns the index of the last membership change
  log_index LastMemberChange() const { return members_.rbegin()->first; }

  const std::shared_ptr<const replica_snapshot>& Snapshot() const {
    return snapshot_;
  }
  log_index SnapshotIndex() const { return snapshot_ ? snapshot_->index : 0; }
  /// Sets a snapshot made by this replica and drops entries that it covers.
  /// @param retain number of covered entries that stay in memory
  void Compact(std::shared_ptr<const replica_snapshot> snapshot,
               std::size_t retain);
  /// Sets a snapshot received from the leader. Entries after it are kept only
  /// if the log matches the snapshot at its last index.
  void Install(std::shared_ptr<const replica_snapshot> snapshot);
  std::size_t Bytes() const { return bytes_; }
  std::size_t EntryCount() const { return entries_.size(); }

 private:
  void DropPrefix(log_index up_to);
  void RecordMemberChange(log_index index, const log_entry& entry);

  log_index before_first_ = 0;
  log_term term_before_first_ = 0;
  std::deque<log_entry> entries_;
  std::size_t bytes_ = 0;
  std::shared_ptr<const replica_snapshot> snapshot_;
  std::map<log_index, membership> members_;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_REPLICA_LOG_H_
