// Replication, commit, admission and reads of replica on the leader's side.
#include <algorithm>
#include <functional>
#include <utility>

#include "libalmond/replication/replica.h"

namespace almond {

template <typename Value, typename ValueOf>
std::optional<Value> replica::QuorumValue(Value own, ValueOf value_of) const {
  const membership& members = log_.Members();
  std::vector<Value> values;
  for (const auto& [id, incarnation] : members.voters) {
    if (id == settings_.self) {
      if (incarnation == settings_.incarnation) values.push_back(own);
      continue;
    }
    const auto found = progress_.find(id);
    if (found == progress_.end()) continue;
    const follower_progress& progress = found->second;
    if (progress.Incarnation() == incarnation) {
      values.push_back(value_of(progress));
    }
  }
  if (values.size() < members.Quorum()) return std::nullopt;
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[members.Quorum() - 1];
}

void replica::BecomeLeader(steady_time now) {
  role_ = replica_role::leader;
  leader_ = settings_.self;
  progress_.clear();
  for (const replica_id& id : settings_.replicas) {
    if (id == settings_.self) continue;
    progress_.emplace(id, follower_progress(log_.Last() + 1, now));
  }
  contact_start_ = now;
  term_start_ = log_.Last() + 1;
  // Commits the entries of earlier terms.
  Append(log_entry());
  Broadcast(now);
  AdvanceCommit();
}

void replica::CheckContact(steady_time now) {
  if (now - contact_start_ < kLeaderContactLimit) return;
  const auto contact = QuorumValue<steady_time>(
      now,
      [](const follower_progress& progress) { return progress.LastContact(); });
  if (contact && now - *contact < kLeaderContactLimit) return;
  BecomeFollower(vote_.term, replica_id());
  ResetElectionTimer(now);
}

void replica::Broadcast(steady_time now) {
  ++round_;
  broadcast_due_ = false;
  next_heartbeat_ = now + kHeartbeatInterval;
  for (auto& [id, progress] : progress_) SendAppend(id, progress, true);
}

void replica::SendAppend(const replica_id& to, follower_progress& progress,
                         bool heartbeat) {
  const log_index previous = progress.NextIndex() - 1;
  if (previous < log_.BeforeFirst()) {
    SendChunk(to, progress, false);
    return;
  }
  append_request request{round_, previous, log_.TermAt(previous), commit_, {}};
  if (previous < progress.MatchIndex() + kMaxEntriesAhead) {
    request.entries = log_.After(previous, settings_.max_append_bytes);
  }
  if (request.entries.empty() && !heartbeat) return;
  progress.Sent(previous + request.entries.size());
  Send(to, vote_.term, std::move(request));
}

void replica::SendChunk(const replica_id& to, const follower_progress& progress,
                        bool with_data) {
  const replica_snapshot& snapshot = *log_.Snapshot();
  snapshot_chunk chunk{round_,
                       snapshot.index,
                       snapshot.term,
                       snapshot.members,
                       snapshot.data.size(),
                       progress.SnapshotOffset(snapshot.index),
                       ""};
  if (with_data) {
    chunk.data = snapshot.data.substr(chunk.offset, settings_.chunk_bytes);
  }
  Send(to, vote_.term, std::move(chunk));
}

follower_progress* replica::HearFollower(const replica_message& message,
                                         std::uint64_t round, steady_time now) {
  if (message.term > vote_.term) {
    BecomeFollower(message.term, replica_id());
    return nullptr;
  }
  if (role_ != replica_role::leader || message.term < vote_.term) {
    return nullptr;
  }
  const auto found = progress_.find(message.from);
  if (found == progress_.end()) return nullptr;
  found->second.Hear(message.from_incarnation, round, round_, now);
  return &found->second;
}

void replica::Handle(const replica_message& message, const append_reply& reply,
                     steady_time now) {
  follower_progress* progress = HearFollower(message, reply.round, now);
  if (progress == nullptr) return;
  if (reply.success) {
    progress->Match(std::min(reply.index, log_.Last()));
    AdvanceCommit();
    ConsiderAdmission(message.from, *progress);
  } else {
    progress->Reject(reply.index);
  }
  ResolveReads();
  SendAppend(message.from, *progress, false);
}

void replica::Handle(const replica_message& message,
                     const snapshot_reply& reply, steady_time now) {
  follower_progress* progress = HearFollower(message, reply.round, now);
  if (progress == nullptr) return;
  ResolveReads();
  if (log_.SnapshotIndex() != reply.last_index) return;
  if (progress->ChunkDue(reply.last_index, reply.next_offset, now)) {
    SendChunk(message.from, *progress, true);
  }
}

void replica::AdvanceCommit() {
  const auto index = QuorumValue<log_index>(
      persisted_,
      [](const follower_progress& progress) { return progress.MatchIndex(); });
  // An entry of an earlier term counts as committed only with one of this term.
  if (!index || *index <= commit_ || *index < term_start_) return;
  Commit(*index);
  broadcast_due_ = true;
  ResolveReads();
}

void replica::ConsiderAdmission(const replica_id& id,
                                const follower_progress& progress) {
  const membership& members = log_.Members();
  const replica_incarnation incarnation = progress.Incarnation();
  if (members.IsVoter(id, incarnation) || members.IsRetired(id, incarnation)) {
    return;
  }
  // One change at a time, and none before an entry of this term is committed:
  // otherwise the quorums of two leaders need not have a member in common.
  if (commit_ < term_start_ || log_.LastMemberChange() > commit_) return;
  if (!progress.ProvenLive() || progress.MatchIndex() < commit_) return;
  const auto successor = members.successors.find(id);
  const bool named =
      successor != members.successors.end() && successor->second == incarnation;
  log_entry entry;
  entry.kind = named ? log_entry_kind::admit : log_entry_kind::replace;
  entry.replica = id;
  entry.incarnation = incarnation;
  Append(std::move(entry));
}

void replica::ResolveReads() {
  if (reads_.empty()) return;
  const auto confirmed = QuorumValue<std::uint64_t>(
      round_,
      [](const follower_progress& progress) { return progress.Round(); });
  while (!reads_.empty() && confirmed && reads_.front().round <= *confirmed &&
         reads_.front().index <= applied_) {
    output_.completions.emplace_back(
        [hook = std::move(reads_.front().on_end)] { hook(true); });
    reads_.pop_front();
  }
}

void replica::EndLeadership() {
  for (auto& [index, hook] : proposals_) {
    output_.completions.emplace_back([hook = std::move(hook)] {
      hook({proposal_outcome::unknown, ""});
    });
  }
  proposals_.clear();
  for (pending_read& read : reads_) {
    output_.completions.emplace_back(
        [hook = std::move(read.on_end)] { hook(false); });
  }
  reads_.clear();
  progress_.clear();
  broadcast_due_ = false;
}

}  // namespace almond
