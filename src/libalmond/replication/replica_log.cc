#include "libalmond/replication/replica_log.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace almond {

replica_log::replica_log(membership initial,
                         std::shared_ptr<const replica_snapshot> snapshot,
                         const std::vector<log_entry>& entries)
    : snapshot_(std::move(snapshot)) {
  members_.emplace(0, std::move(initial));
  if (snapshot_) {
    before_first_ = snapshot_->index;
    term_before_first_ = snapshot_->term;
    members_.clear();
    members_.emplace(snapshot_->index, snapshot_->members);
  }
  for (const log_entry& entry : entries) Append(entry);
}

log_term replica_log::TermAt(log_index index) const {
  return index == before_first_ ? term_before_first_ : At(index).term;
}

std::vector<log_entry> replica_log::EntriesAfter(log_index previous,
                                                 std::size_t max_bytes) const {
  std::vector<log_entry> result;
  std::size_t size = 0;
  for (log_index index = previous + 1; index <= Last(); ++index) {
    const log_entry& entry = At(index);
    size += entry.Size();
    if (!result.empty() && size > max_bytes) break;
    result.push_back(entry);
  }
  return result;
}

std::vector<log_entry> replica_log::EntriesAfter(log_index previous) const {
  return EntriesAfter(previous, std::numeric_limits<std::size_t>::max());
}

void replica_log::RecordMemberChange(log_index index, const log_entry& entry) {
  if (entry.kind == log_entry_kind::no_op ||
      entry.kind == log_entry_kind::command) {
    return;
  }
  membership changed = Members();
  if (entry.kind == log_entry_kind::replace) {
    changed.Replace(entry.replica, entry.incarnation);
  } else if (entry.kind == log_entry_kind::admit) {
    changed.Admit(entry.replica, entry.incarnation);
  } else {
    changed.Add(entry.replica, entry.incarnation);
  }
  members_.emplace(index, std::move(changed));
}

void replica_log::Append(log_entry entry) {
  bytes_ += entry.Size();
  RecordMemberChange(Last() + 1, entry);
  entries_.push_back(std::move(entry));
}

void replica_log::TruncateFrom(log_index index) {
  while (Last() >= index) {
    bytes_ -= entries_.back().Size();
    entries_.pop_back();
  }
  members_.erase(members_.lower_bound(index), members_.end());
}

log_index replica_log::FirstOfTerm(log_index index, log_index lowest) const {
  const log_term term = TermAt(index);
  while (index > lowest && index > before_first_ + 1 &&
         TermAt(index - 1) == term) {
    --index;
  }
  return index;
}

const membership& replica_log::MembersAt(log_index index) const {
  return std::prev(members_.upper_bound(index))->second;
}

void replica_log::DropPrefix(log_index up_to) {
  while (before_first_ < up_to && !entries_.empty()) {
    term_before_first_ = entries_.front().term;
    bytes_ -= entries_.front().Size();
    entries_.pop_front();
    ++before_first_;
  }
}

void replica_log::Compact(std::shared_ptr<const replica_snapshot> snapshot,
                          std::size_t retain) {
  snapshot_ = std::move(snapshot);
  DropPrefix(snapshot_->index - std::min<log_index>(snapshot_->index, retain));
  // The membership in effect at the snapshot stays as the oldest one.
  const auto in_force = std::prev(members_.upper_bound(snapshot_->index));
  members_.erase(members_.begin(), in_force);
}

void replica_log::Install(std::shared_ptr<const replica_snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  const bool follows =
      Holds(snapshot_->index) && TermAt(snapshot_->index) == snapshot_->term;
  if (follows) {
    DropPrefix(snapshot_->index);
    members_.erase(members_.begin(), members_.upper_bound(snapshot_->index));
  } else {
    entries_.clear();
    bytes_ = 0;
    members_.clear();
    before_first_ = snapshot_->index;
    term_before_first_ = snapshot_->term;
  }
  members_.emplace(snapshot_->index, snapshot_->members);
}

}  // namespace almond
