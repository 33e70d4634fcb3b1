// Leader part of class replica: replication, commit, membership changes and
// reads.
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
  std::set<replica_id> others = added_;
  others.insert(settings_.replicas.begin(), settings_.replicas.end());
  for (const auto& [id, incarnation] : log_.Members().voters) others.insert(id);
  for (const auto& [id, incarnation] : log_.Members().successors) {
    others.insert(id);
  }
  others.erase(settings_.self);
  for (const replica_id& id : others) {
    progress_.emplace(id, follower_progress(log_.Last() + 1, now));
  }
  leadership_start_ = now;
  term_start_index_ = log_.Last() + 1;
  // Entries of earlier terms commit only together with an entry of this term.
  Append(log_entry());
  Broadcast(now);
  AdvanceCommit();
}

bool replica::HasQuorumContact(steady_time now) const {
  if (now - leadership_start_ < kLeaderContactTimeout) return true;
  const auto contact = QuorumValue<steady_time>(
      now,
      [](const follower_progress& progress) { return progress.LastContact(); });
  return contact && now - *contact < kLeaderContactTimeout;
}

void replica::Broadcast(steady_time now) {
  ++round_;
  broadcast_due_ = false;
  next_heartbeat_ = now + kHeartbeatInterval;
  for (auto& [id, progress] : progress_) SendAppend(id, progress, true);
  // No reply will resolve them if this replica is the only one.
  ResolveReads();
}

void replica::SendAppend(const replica_id& to, follower_progress& progress,
                         bool heartbeat) {
  const log_index previous = progress.NextIndex() - 1;
  if (previous < log_.BeforeFirst()) {
    SendChunk(to, progress, false);
    return;
  }
  append_request request{
      round_, previous, log_.TermAt(previous), commit_index_, {}};
  if (previous < progress.MatchIndex() + kMaxInFlightEntries) {
    request.entries = log_.EntriesAfter(previous, settings_.max_append_bytes);
  }
  if (request.entries.empty() && !heartbeat) return;
  progress.RecordSent(previous + request.entries.size());
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

follower_progress* replica::RecordFollowerReply(const replica_message& message,
                                                std::uint64_t round,
                                                steady_time now) {
  if (message.term > vote_.term) {
    BecomeFollower(message.term, replica_id());
    return nullptr;
  }
  if (role_ != replica_role::leader || message.term < vote_.term) {
    return nullptr;
  }
  const auto found = progress_.find(message.from);
  if (found == progress_.end()) return nullptr;
  found->second.RecordReply(message.from_incarnation, round, round_, now);
  return &found->second;
}

void replica::Handle(const replica_message& message, const append_reply& reply,
                     steady_time now) {
  follower_progress* progress = RecordFollowerReply(message, reply.round, now);
  if (progress == nullptr) return;
  if (reply.success) {
    progress->RecordMatch(std::min(reply.index, log_.Last()));
    AdvanceCommit();
    ProposeMemberChange(message.from, *progress, now);
  } else {
    progress->RecordMismatch(reply.index);
  }
  ResolveReads();
  SendAppend(message.from, *progress, false);
}

void replica::Handle(const replica_message& message,
                     const snapshot_reply& reply, steady_time now) {
  follower_progress* progress = RecordFollowerReply(message, reply.round, now);
  if (progress == nullptr) return;
  ResolveReads();
  if (log_.SnapshotIndex() != reply.last_index) return;
  if (progress->IsChunkDue(reply.last_index, reply.next_offset, now)) {
    SendChunk(message.from, *progress, true);
  }
}

void replica::AdvanceCommit() {
  const auto index = QuorumValue<log_index>(
      persisted_index_,
      [](const follower_progress& progress) { return progress.MatchIndex(); });
  // Entries of earlier terms commit only together with an entry of this term.
  if (!index || *index <= commit_index_ || *index < term_start_index_) return;
  Commit(*index);
  broadcast_due_ = true;
  ResolveReads();
}

bool replica::HasAnswered(const replica_id& id, replica_incarnation incarnation,
                          steady_time now) const {
  if (id == settings_.self) return true;
  const auto found = progress_.find(id);
  return found != progress_.end() &&
         found->second.Incarnation() == incarnation &&
         now - found->second.LastContact() < kLeaderSilenceTimeout;
}

bool replica::HasQuorumWithout(const replica_id& id, steady_time now) const {
  const membership& members = log_.Members();
  std::size_t live = 0;
  for (const auto& [voter, incarnation] : members.voters) {
    if (voter != id && HasAnswered(voter, incarnation, now)) ++live;
  }
  return live >= members.Quorum();
}

bool replica::HasPlace(const replica_id& id) const {
  const auto& replicas = settings_.replicas;
  return log_.Members().HasPlace(id) ||
         std::find(replicas.begin(), replicas.end(), id) != replicas.end();
}

std::size_t replica::CountJoining(steady_time now) const {
  return static_cast<std::size_t>(std::count_if(
      progress_.begin(), progress_.end(), [&](const auto& follower) {
        const auto& [id, progress] = follower;
        return !HasPlace(id) && progress.IsLive() &&
               progress.MatchIndex() >= commit_index_ &&
               HasAnswered(id, progress.Incarnation(), now);
      }));
}

bool replica::CanAddPlace(steady_time now) const {
  const membership& members = log_.Members();
  const std::size_t missing = members.places % 2 == 0 ? 1 : 2;
  if (members.places < kMinGrownPlaces ||
      members.places + missing > settings_.max_places ||
      members.voters.size() < members.places || CountJoining(now) < missing) {
    return false;
  }
  return std::all_of(members.voters.begin(), members.voters.end(),
                     [&](const auto& voter) {
                       return HasAnswered(voter.first, voter.second, now);
                     });
}

std::optional<log_entry_kind> replica::NextMemberChange(
    const replica_id& id, replica_incarnation incarnation,
    steady_time now) const {
  const membership& members = log_.Members();
  if (members.IsVoter(id, incarnation) || members.IsRetired(id, incarnation)) {
    return std::nullopt;
  }
  if (!HasPlace(id)) {
    if (!CanAddPlace(now)) return std::nullopt;
    return log_entry_kind::add;
  }
  const auto successor = members.successors.find(id);
  if (successor != members.successors.end() &&
      successor->second == incarnation) {
    return log_entry_kind::admit;
  }
  // A voter that is replaced loses its vote at once. Without a majority of the
  // others the change could not be committed, and no leader be elected again,
  // though the voter may be back.
  if (!HasQuorumWithout(id, now)) return std::nullopt;
  return log_entry_kind::replace;
}

void replica::ProposeMemberChange(const replica_id& id,
                                  const follower_progress& progress,
                                  steady_time now) {
  // One change at a time, and none before an entry of this term is committed;
  // otherwise the quorums of two leaders might not overlap.
  if (commit_index_ < term_start_index_ ||
      log_.LastMemberChange() > commit_index_) {
    return;
  }
  if (!progress.IsLive() || progress.MatchIndex() < commit_index_) return;
  const auto kind = NextMemberChange(id, progress.Incarnation(), now);
  if (!kind) return;
  log_entry entry;
  entry.kind = *kind;
  entry.replica = id;
  entry.incarnation = progress.Incarnation();
  Append(std::move(entry));
}

void replica::ResolveReads() {
  if (reads_.empty()) return;
  const auto confirmed = QuorumValue<std::uint64_t>(
      round_,
      [](const follower_progress& progress) { return progress.Round(); });
  while (!reads_.empty() && confirmed && reads_.front().round <= *confirmed &&
         reads_.front().index <= applied_index_) {
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
