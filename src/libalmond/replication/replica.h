#ifndef ALMOND_REPLICATION_REPLICA_H_
#define ALMOND_REPLICATION_REPLICA_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/replication/follower_progress.h"
#include "libalmond/replication/replica_log.h"
#include "libalmond/replication/replica_output.h"
#include "libalmond/replication/replica_results.h"
#include "libalmond/replication/vote_tally.h"

namespace almond {

/// Identity and limits of one replica.
struct replica_settings {
  replica_id self;
  replica_incarnation incarnation;
  /// Replicas that have a place from the bootstrap on. Equal at all replicas.
  std::vector<replica_id> replicas;
  /// Replicas that form a new cluster; the others are admitted later. Equal at
  /// all replicas.
  std::vector<replica_id> founders;
  /// Number of places up to which the leader adds new ones, see AddReplica; 0
  /// for no new places. They are added in pairs, because an even number of
  /// places tolerates no more losses than one less.
  std::size_t max_places = 0;
  /// Number of applied entries after which a snapshot is due.
  std::size_t snapshot_after_entries = 10000;
  /// Number of entries covered by a snapshot that stay in memory, for replicas
  /// that lag slightly.
  std::size_t retained_entries = 1000;
  std::size_t max_append_bytes = std::size_t{1} << 20U;
  std::size_t chunk_bytes = std::size_t{256} << 10U;
};

/// One replica of the control log as a state machine without I/O. Each call
/// changes the state and adds to the output, which the owner takes and
/// executes. Elections (with pre-votes), log matching and snapshots follow
/// Raft.
class replica {
 public:
  static constexpr milliseconds kHeartbeatInterval{80};
  static constexpr milliseconds kMinElectionTimeout{400};
  static constexpr milliseconds kMaxElectionTimeout{700};
  /// Election timeouts until the first contact with a leader. They are shorter
  /// than the usual ones, so that replicas that start together elect a leader
  /// at once. A single replica that restarts does not disturb a live leader,
  /// because the other replicas refuse its pre-vote. An election takes two
  /// syncs of about 10 ms each and a round trip.
  static constexpr milliseconds kMinFirstElectionTimeout{60};
  static constexpr milliseconds kMaxFirstElectionTimeout{160};
  /// A leader that receives no replies from a majority for this time steps
  /// down.
  static constexpr milliseconds kLeaderContactTimeout{600};
  /// Time without contact after which a leader is not named to others any more:
  /// it may be frozen or cut off. Several heartbeats, and shorter than the
  /// election timeouts.
  static constexpr milliseconds kLeaderSilenceTimeout{300};
  /// Number of entries that a leader sends to a replica without waiting for its
  /// acknowledgement.
  static constexpr log_index kMaxInFlightEntries = 4096;
  /// Number of places below which none are added: a second place would make
  /// the log depend on both.
  static constexpr std::size_t kMinGrownPlaces = 3;

  /// @param random source of election timeouts; outlives the replica
  /// @param state recovered from the disk; empty for a new disk
  replica(replica_settings settings, std::mt19937_64& random,
          const persistent_state& state, steady_time now);

  /// Handles timeouts; to be called at intervals of at most about 20 ms.
  void Tick(steady_time now);
  void Receive(const replica_message& message, steady_time now);
  /// Makes a replica known that has no place yet. As the leader, this replica
  /// sends it the log and adds a place for it once that is possible.
  void AddReplica(const replica_id& id, steady_time now);
  /// @param on_end emitted in the completions of a later output
  void Propose(std::string command, proposal_hook on_end);
  /// @param on_end called with true once a majority has confirmed the
  ///   leadership after this call and everything committed before it is
  ///   applied; with false if this replica is not, or no longer, the leader
  void ConfirmRead(read_hook on_end);
  /// To be called when the records of an output and of all earlier ones are
  /// synced.
  /// @param batch replica_output::batch of that output
  void OnPersisted(std::uint64_t batch);
  /// To be called when the state machine has applied a committed entry.
  /// @param result passed to the proposer
  void OnApplied(log_index index, const std::string& result);
  /// @returns true if StoreSnapshot should be called with the current state
  bool SnapshotDue() const;
  /// Stores a snapshot and compacts the log.
  /// @param data state of the state machine after the last applied entry
  void StoreSnapshot(std::string data);
  /// @returns the work that has accumulated since the last call
  replica_output TakeOutput(steady_time now);

  /// @returns the state that covers all records of the outputs taken so far, to
  ///   be written in place of them if the disk may have lost some
  persistent_state DurableState() const;

  bool IsLeader() const { return role_ == replica_role::leader; }
  /// @returns true if this replica is the leader and has applied all entries
  ///   that were committed before its term, so that its state is not older than
  ///   what earlier leaders have acknowledged
  bool IsEstablished() const {
    return IsLeader() && applied_index_ >= term_start_index_;
  }
  replica_status Status() const;
  /// @returns the membership after the last entry, which may not be committed
  const membership& LatestMembers() const { return log_.Members(); }
  /// @returns the leader that may be named to others: this replica while it has
  ///   contact with a majority, or one that it has heard from within
  ///   kLeaderSilenceTimeout; else empty. A replica that was suspended may take
  ///   itself for the leader until its next Tick.
  replica_id LiveLeader(steady_time now) const;

 private:
  struct pending_read {
    std::uint64_t round = 0;
    log_index index = 0;
    read_hook on_end;
  };
  struct pending_batch {
    std::uint64_t batch = 0;
    log_index last = 0;
  };
  struct incoming_snapshot {
    log_index last_index = 0;
    log_term last_term = 0;
    std::uint64_t total = 0;
    std::string data;
  };

  // Elections, see replica_election.cc.
  bool IsVoter() const;
  bool HasLiveLeader(steady_time now) const;
  void ResetElectionTimer(steady_time now);
  void BecomeFollower(log_term term, const replica_id& leader);
  void StartElection(bool pre_vote, steady_time now);
  void Handle(const replica_message& message, const vote_request& request,
              steady_time now);
  void Handle(const replica_message& message, const vote_reply& reply,
              steady_time now);
  void CountVotes(steady_time now);

  // Follower, see replica_follower.cc.
  bool FollowLeader(const replica_message& message, std::uint64_t round,
                    steady_time now);
  void Handle(const replica_message& message, const append_request& request,
              steady_time now);
  std::optional<log_index> FindMismatch(const append_request& request) const;
  void StoreEntries(log_index previous, const std::vector<log_entry>& entries);
  void Handle(const replica_message& message, const snapshot_chunk& chunk,
              steady_time now);
  void InstallSnapshot(const snapshot_chunk& chunk);

  // Leader, see replica_leader.cc.
  void BecomeLeader(steady_time now);
  bool HasQuorumContact(steady_time now) const;
  void Broadcast(steady_time now);
  void SendAppend(const replica_id& to, follower_progress& progress,
                  bool heartbeat);
  void SendChunk(const replica_id& to, const follower_progress& progress,
                 bool with_data);
  follower_progress* RecordFollowerReply(const replica_message& message,
                                         std::uint64_t round, steady_time now);
  void Handle(const replica_message& message, const append_reply& reply,
              steady_time now);
  void Handle(const replica_message& message, const snapshot_reply& reply,
              steady_time now);
  void AdvanceCommit();
  void ProposeMemberChange(const replica_id& id,
                           const follower_progress& progress, steady_time now);
  /// @returns the kind of change that makes the replica's incarnation a voter,
  ///   or nothing if none is possible now
  std::optional<log_entry_kind> NextMemberChange(
      const replica_id& id, replica_incarnation incarnation,
      steady_time now) const;
  bool HasPlace(const replica_id& id) const;
  /// @returns true if a place can be added while every present place is held by
  ///   a voter that has answered lately
  bool CanAddPlace(steady_time now) const;
  bool HasAnswered(const replica_id& id, replica_incarnation incarnation,
                   steady_time now) const;
  std::size_t CountJoining(steady_time now) const;
  /// @returns true if the voters other than this one that have answered lately
  ///   are a quorum, this replica included
  bool HasQuorumWithout(const replica_id& id, steady_time now) const;
  void ResolveReads();
  void EndLeadership();
  template <typename Value, typename ValueOf>
  std::optional<Value> QuorumValue(Value own, ValueOf value_of) const;

  /// @returns the number of voters that have synced the log up to the commit
  ///   index, including this replica
  std::size_t SyncedCopies() const;
  /// @returns true for a message of a retired incarnation, unless it is an
  ///   append_reply or snapshot_reply of a term that is not above this
  ///   replica's
  bool ShouldIgnore(const replica_message& message) const;
  void Append(log_entry entry);
  void Commit(log_index index);
  void Send(const replica_id& to, log_term term,
            decltype(replica_message::body) body);
  void TakeRecords(replica_output& output);
  void TakeCommitted(replica_output& output);

  const replica_settings settings_;
  std::set<replica_id> added_;  ///< see AddReplica
  std::mt19937_64& random_;
  replica_log log_;
  vote_record vote_;
  replica_role role_ = replica_role::follower;
  replica_id leader_;
  log_index commit_index_ = 0;
  log_index emitted_index_ = 0;
  log_index applied_index_ = 0;

  // Persistence. Entries above persisted_index_ are not synced yet.
  bool vote_changed_ = false;
  bool snapshot_changed_ = false;
  log_index first_unwritten_ = 0;
  log_index persisted_index_ = 0;
  std::uint64_t last_batch_ = 0;
  std::deque<pending_batch> pending_batches_;

  // Follower and candidate.
  steady_time election_deadline_;
  std::optional<steady_time> last_leader_contact_;
  vote_tally tally_;
  incoming_snapshot incoming_;

  // Leader.
  std::map<replica_id, follower_progress> progress_;
  log_index term_start_index_ = 0;
  std::uint64_t round_ = 0;
  steady_time leadership_start_;
  steady_time next_heartbeat_;
  bool broadcast_due_ = false;
  std::map<log_index, proposal_hook> proposals_;
  std::deque<pending_read> reads_;

  replica_output output_;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_REPLICA_H_
