#ifndef ALMOND_REPLICATION_REPLICA_LOG_H_
#define ALMOND_REPLICATION_REPLICA_LOG_H_

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "libalmond/replication/replication_messages.h"

namespace almond {

/// The log of one replica in memory, with its snapshot and the members that
/// follow from it. Keeps some entries that the snapshot covers, for replicas
/// that lag a little.
class replica_log {
 public:
  /// @param initial members before the first entry
  /// @param snapshot may be null
  /// @param entries the entries after the snapshot
  replica_log(membership initial,
              std::shared_ptr<const replica_snapshot> snapshot,
              const std::vector<log_entry>& entries);

  log_index Last() const { return before_first_ + entries_.size(); }
  log_term LastTerm() const { return TermAt(Last()); }
  /// @returns the last index before the entries in memory
  log_index BeforeFirst() const { return before_first_; }
  /// @returns true if TermAt knows the index
  bool Holds(log_index index) const {
    return index >= before_first_ && index <= Last();
  }
  log_term TermAt(log_index index) const;
  const log_entry& At(log_index index) const {
    return entries_[index - before_first_ - 1];
  }
  /// @returns the entries after `previous`, at least one if there is one, and
  ///   no more than fit into the bytes
  std::vector<log_entry> After(log_index previous, std::size_t max_bytes) const;
  std::vector<log_entry> After(log_index previous) const;

  void Append(log_entry entry);
  /// Removes the entries from this index on.
  void TruncateFrom(log_index index);
  /// @returns the first index of the entry's term, but not below `lowest`
  log_index FirstOfTerm(log_index index, log_index lowest) const;

  /// @returns the members after the last entry
  const membership& Members() const { return members_.rbegin()->second; }
  const membership& MembersAt(log_index index) const;
  /// @returns the index of the last change of members
  log_index LastMemberChange() const { return members_.rbegin()->first; }

  const std::shared_ptr<const replica_snapshot>& Snapshot() const {
    return snapshot_;
  }
  log_index SnapshotIndex() const { return snapshot_ ? snapshot_->index : 0; }
  /// Takes a snapshot of this log's own state.
  /// @param retain number of entries that it covers and that stay in memory
  void Compact(std::shared_ptr<const replica_snapshot> snapshot,
               std::size_t retain);
  /// Takes a snapshot from the leader. Entries after it stay if they follow
  /// from the snapshot's last entry.
  void Install(std::shared_ptr<const replica_snapshot> snapshot);
  std::size_t Bytes() const { return bytes_; }
  std::size_t EntryCount() const { return entries_.size(); }

 private:
  void DropFront(log_index up_to);
  void NoteMembers(log_index index, const log_entry& entry);

  log_index before_first_ = 0;
  log_term term_before_first_ = 0;
  std::deque<log_entry> entries_;
  std::size_t bytes_ = 0;
  std::shared_ptr<const replica_snapshot> snapshot_;
  std::map<log_index, membership> members_;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_REPLICA_LOG_H_
