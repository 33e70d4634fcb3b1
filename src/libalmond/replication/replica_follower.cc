// Follower part of class replica: log matching and installation of snapshots.
#include <algorithm>
#include <memory>
#include <utility>

#include "libalmond/replication/replica.h"

namespace almond {

bool replica::FollowLeader(const replica_message& message, std::uint64_t round,
                           steady_time now) {
  if (message.term < vote_.term) {
    // The higher term makes the outdated leader step down.
    Send(message.from, vote_.term, append_reply{round, false, 0});
    return false;
  }
  BecomeFollower(message.term, message.from);
  last_leader_contact_ = now;
  ResetElectionTimer(now);
  return true;
}

void replica::Handle(const replica_message& message,
                     const append_request& request, steady_time now) {
  if (!FollowLeader(message, request.round, now)) return;
  if (const auto from = FindMismatch(request)) {
    Send(message.from, vote_.term, append_reply{request.round, false, *from});
    return;
  }
  StoreEntries(request.previous_index, request.entries);
  const log_index match = request.previous_index + request.entries.size();
  Commit(std::min(request.commit_index, match));
  Send(message.from, vote_.term, append_reply{request.round, true, match});
}

std::optional<log_index> replica::FindMismatch(
    const append_request& request) const {
  const log_index previous = request.previous_index;
  // Entries that are committed here are equal to the leader's.
  if (previous <= commit_index_) return std::nullopt;
  if (previous > log_.Last()) return log_.Last() + 1;
  if (log_.TermAt(previous) == request.previous_term) return std::nullopt;
  return log_.FirstOfTerm(previous, commit_index_ + 1);
}

void replica::StoreEntries(log_index previous,
                           const std::vector<log_entry>& entries) {
  log_index index = previous;
  for (const log_entry& entry : entries) {
    ++index;
    if (index <= commit_index_) continue;
    if (index <= log_.Last()) {
      if (log_.TermAt(index) == entry.term) continue;
      log_.TruncateFrom(index);
      first_unwritten_ = std::min(first_unwritten_, index);
      persisted_index_ = std::min(persisted_index_, index - 1);
      for (pending_batch& batch : pending_batches_) {
        batch.last = std::min(batch.last, index - 1);
      }
    }
    log_.Append(entry);
  }
}

void replica::Handle(const replica_message& message,
                     const snapshot_chunk& chunk, steady_time now) {
  if (!FollowLeader(message, chunk.round, now)) return;
  if (chunk.last_index <= commit_index_) {
    Send(message.from, vote_.term,
         append_reply{chunk.round, true, chunk.last_index});
    return;
  }
  if (incoming_.last_index != chunk.last_index ||
      incoming_.last_term != chunk.last_term ||
      incoming_.total != chunk.total) {
    incoming_ = {chunk.last_index, chunk.last_term, chunk.total, ""};
  }
  if (chunk.offset == incoming_.data.size()) incoming_.data += chunk.data;
  if (incoming_.data.size() >= incoming_.total) {
    InstallSnapshot(chunk);
    Send(message.from, vote_.term,
         append_reply{chunk.round, true, chunk.last_index});
    return;
  }
  Send(message.from, vote_.term,
       snapshot_reply{chunk.round, chunk.last_index, incoming_.data.size()});
}

void replica::InstallSnapshot(const snapshot_chunk& chunk) {
  auto snapshot = std::make_shared<replica_snapshot>();
  snapshot->index = chunk.last_index;
  snapshot->term = chunk.last_term;
  snapshot->members = chunk.members;
  snapshot->data = std::move(incoming_.data);
  incoming_ = {};
  log_.Install(snapshot);
  snapshot_changed_ = true;
  commit_index_ = chunk.last_index;
  emitted_index_ = commit_index_;
  applied_index_ = commit_index_;
  output_.restore = std::move(snapshot);
  output_.committed.clear();
  // The snapshot record includes the entries after the snapshot.
  first_unwritten_ = log_.Last() + 1;
  persisted_index_ = std::min(persisted_index_, log_.SnapshotIndex());
  for (pending_batch& batch : pending_batches_) {
    batch.last = std::min(batch.last, log_.SnapshotIndex());
  }
}

}  // namespace almond
