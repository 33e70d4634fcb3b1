#include "libalmond/replication/replica.h"

#include <algorithm>
#include <utility>

namespace almond {

replica::replica(replica_settings settings, std::mt19937_64& random,
                 const persistent_state& state, steady_time now)
    : settings_(std::move(settings)),
      random_(random),
      log_(membership::Bootstrap(settings_.founders, settings_.replicas.size()),
           state.snapshot, state.entries),
      vote_(state.vote),
      commit_index_(log_.SnapshotIndex()),
      emitted_index_(commit_index_),
      applied_index_(commit_index_),
      first_unwritten_(log_.Last() + 1),
      persisted_index_(log_.Last()) {
  output_.restore = state.snapshot;
  ResetElectionTimer(now);
}

void replica::Tick(steady_time now) {
  if (role_ == replica_role::leader) {
    if (HasQuorumContact(now)) return;
    BecomeFollower(vote_.term, replica_id());
    ResetElectionTimer(now);
  } else if (now >= election_deadline_) {
    if (IsVoter()) {
      StartElection(true, now);
    } else {
      ResetElectionTimer(now);
      leader_ = replica_id();
    }
  }
}

void replica::Receive(const replica_message& message, steady_time now) {
  if (message.to != settings_.self || ShouldIgnore(message)) return;
  std::visit([&](const auto& body) { Handle(message, body, now); },
             message.body);
}

void replica::AddReplica(const replica_id& id, steady_time now) {
  if (id == settings_.self || !added_.insert(id).second) return;
  if (role_ != replica_role::leader) return;
  progress_.emplace(id, follower_progress(log_.Last() + 1, now));
}

bool replica::ShouldIgnore(const replica_message& message) const {
  // An uncommitted replacement may still be overwritten.
  const membership& members = log_.MembersAt(commit_index_);
  if (!members.IsRetired(message.from, message.from_incarnation)) return false;
  // Replies of a retired incarnation to this leader are accepted, so that it
  // receives the log and learns that it was replaced. Its other messages, and
  // replies with a higher term, are ignored.
  const bool reply = std::holds_alternative<append_reply>(message.body) ||
                     std::holds_alternative<snapshot_reply>(message.body);
  return !reply || message.term > vote_.term;
}

void replica::Propose(std::string command, proposal_hook on_end) {
  if (role_ != replica_role::leader) {
    output_.completions.emplace_back(
        [hook = std::move(on_end)] { hook(proposal_result()); });
    return;
  }
  log_entry entry;
  entry.kind = log_entry_kind::command;
  entry.command = std::move(command);
  Append(std::move(entry));
  proposals_.emplace(log_.Last(), std::move(on_end));
}

void replica::ConfirmRead(read_hook on_end) {
  if (role_ != replica_role::leader) {
    output_.completions.emplace_back(
        [hook = std::move(on_end)] { hook(false); });
    return;
  }
  // Entries of earlier leaders are known to be committed only once the first
  // entry of this term is.
  reads_.push_back({round_ + 1, std::max(commit_index_, term_start_index_),
                    std::move(on_end)});
  broadcast_due_ = true;
}

void replica::OnPersisted(std::uint64_t batch) {
  while (!pending_batches_.empty() && pending_batches_.front().batch <= batch) {
    persisted_index_ =
        std::max(persisted_index_, pending_batches_.front().last);
    pending_batches_.pop_front();
  }
  if (role_ == replica_role::leader) AdvanceCommit();
}

void replica::OnApplied(log_index index, const std::string& result) {
  // A snapshot may have replaced the state since the entry was emitted.
  if (index != applied_index_ + 1) return;
  applied_index_ = index;
  const auto found = proposals_.find(index);
  if (found != proposals_.end()) {
    output_.completions.emplace_back([hook = std::move(found->second), result] {
      hook({proposal_outcome::committed, result});
    });
    proposals_.erase(found);
  }
  ResolveReads();
}

bool replica::SnapshotDue() const {
  return applied_index_ - log_.SnapshotIndex() >=
         settings_.snapshot_after_entries;
}

void replica::StoreSnapshot(std::string data) {
  auto snapshot = std::make_shared<replica_snapshot>();
  snapshot->index = applied_index_;
  snapshot->term = log_.TermAt(applied_index_);
  snapshot->members = log_.MembersAt(applied_index_);
  snapshot->data = std::move(data);
  log_.Compact(std::move(snapshot), settings_.retained_entries);
  snapshot_changed_ = true;
}

void replica::Append(log_entry entry) {
  entry.term = vote_.term;
  log_.Append(std::move(entry));
  broadcast_due_ = true;
}

void replica::Commit(log_index index) {
  commit_index_ = std::max(commit_index_, index);
}

void replica::Send(const replica_id& to, log_term term,
                   decltype(replica_message::body) body) {
  output_.messages.push_back(
      {settings_.self, settings_.incarnation, to, term, std::move(body)});
}

void replica::TakeRecords(replica_output& output) {
  if (snapshot_changed_) {
    output.records.emplace_back(snapshot_record{
        log_.Snapshot(), vote_, log_.EntriesAfter(log_.SnapshotIndex())});
  } else {
    if (vote_changed_) output.records.emplace_back(vote_);
    if (first_unwritten_ <= log_.Last()) {
      output.records.emplace_back(append_record{
          first_unwritten_, log_.EntriesAfter(first_unwritten_ - 1)});
    }
  }
  snapshot_changed_ = false;
  vote_changed_ = false;
  first_unwritten_ = log_.Last() + 1;
  if (!output.records.empty()) {
    pending_batches_.push_back({++last_batch_, log_.Last()});
  }
  output.batch = last_batch_;
}

void replica::TakeCommitted(replica_output& output) {
  while (emitted_index_ < commit_index_) {
    ++emitted_index_;
    const log_entry& entry = log_.At(emitted_index_);
    output.committed.push_back({emitted_index_, entry.kind, entry.command});
  }
}

replica_output replica::TakeOutput(steady_time now) {
  if (role_ == replica_role::leader &&
      (broadcast_due_ || now >= next_heartbeat_)) {
    Broadcast(now);
  }
  replica_output result = std::exchange(output_, {});
  TakeRecords(result);
  TakeCommitted(result);
  return result;
}

persistent_state replica::DurableState() const {
  return {vote_, log_.Snapshot(), log_.EntriesAfter(log_.SnapshotIndex())};
}

std::size_t replica::SyncedCopies() const {
  const membership& members = log_.MembersAt(commit_index_);
  const bool synced_here =
      members.IsVoter(settings_.self, settings_.incarnation) &&
      persisted_index_ >= commit_index_;
  std::size_t copies = synced_here ? 1 : 0;
  for (const auto& [id, progress] : progress_) {
    if (members.IsVoter(id, progress.Incarnation()) &&
        progress.MatchIndex() >= commit_index_) {
      ++copies;
    }
  }
  return copies;
}

replica_status replica::Status() const {
  const membership& members = log_.MembersAt(commit_index_);
  replica_status status;
  status.term = vote_.term;
  status.role = role_;
  status.leader = leader_;
  status.commit_index = commit_index_;
  status.applied_index = applied_index_;
  status.last_index = log_.Last();
  status.snapshot_index = log_.SnapshotIndex();
  status.log_entries = log_.EntryCount();
  status.log_bytes = log_.Bytes();
  status.incarnation = settings_.incarnation;
  status.admitted = members.IsVoter(settings_.self, settings_.incarnation);
  status.replaced = members.IsRetired(settings_.self, settings_.incarnation);
  status.members = members.voters;
  status.places = members.places;
  if (IsLeader()) {
    status.synced_copies = SyncedCopies();
    for (const auto& [id, progress] : progress_) {
      status.last_contact[id] = progress.LastContact();
    }
  }
  return status;
}

}  // namespace almond
