#ifndef ALMOND_REPLICATION_REPLICA_H_
#define ALMOND_REPLICATION_REPLICA_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
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
  std::vector<replica_id> replicas;  ///< all, with this one
  /// Applied entries after which a snapshot is due.
  std::size_t snapshot_after_entries = 10000;
  /// Entries that a snapshot covers and that stay in memory.
  std::size_t retained_entries = 1000;
  std::size_t max_append_bytes = std::size_t{1} << 20U;
  std::size_t chunk_bytes = std::size_t{256} << 10U;
};

/// One replica of the control log as a step function without I/O. Each call
/// changes the state and adds to the output, which the owner takes and carries
/// out. Elections, log matching and snapshots follow the usual rules of a log
/// replicated by terms and majorities.
class replica {
 public:
  static constexpr milliseconds kHeartbeatInterval{80};
  static constexpr milliseconds kMinElectionTimeout{400};
  static constexpr milliseconds kMaxElectionTimeout{700};
  /// Election timeouts until a leader was heard for the first time. Replicas
  /// that start together elect at once instead of waiting for a leader of whose
  /// death nobody can tell; one that starts alone is refused by the others. A
  /// round takes two syncs of some 10 ms and messages there and back.
  static constexpr milliseconds kMinFirstElectionTimeout{60};
  static constexpr milliseconds kMaxFirstElectionTimeout{160};
  /// A leader without replies of a majority for this time steps down.
  static constexpr milliseconds kLeaderContactLimit{600};
  /// Entries that a leader sends ahead of a replica's replies.
  static constexpr log_index kMaxEntriesAhead = 4096;

  /// @param random source of election timeouts; outlives the replica
  /// @param state what the disk holds; empty for a new one
  /// @param now current time
  replica(replica_settings settings, std::mt19937_64& random,
          const persistent_state& state, steady_time now);

  /// Lets timeouts pass; called at least every 20 ms or so.
  void Tick(steady_time now);
  void Receive(const replica_message& message, steady_time now);
  /// @param on_end called from a later output
  void Propose(std::string command, proposal_hook on_end);
  /// @param on_end called with true once a majority has confirmed the
  ///   leadership after this call and everything committed before it is applied
  void ConfirmRead(read_hook on_end);
  /// Records up to this output are synced.
  void OnPersisted(std::uint64_t batch);
  /// The state machine has applied an entry.
  /// @param result its result, for the proposer
  void OnApplied(log_index index, const std::string& result);
  /// @returns true if StoreSnapshot should be called with the state as of now
  bool SnapshotDue() const;
  /// @param data state of the state machine as of the last applied entry
  void StoreSnapshot(std::string data);
  /// @returns what there is to do since the last call
  replica_output TakeOutput(steady_time now);

  bool IsLeader() const { return role_ == replica_role::leader; }
  replica_status Status() const;

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

  // Elections: replica_election.cc.
  bool IsVoter() const;
  bool HearsLeader(steady_time now) const;
  void ResetElectionTimer(steady_time now);
  void BecomeFollower(log_term term, const replica_id& leader);
  void StartElection(bool pre_vote, steady_time now);
  void Handle(const replica_message& message, const vote_request& request,
              steady_time now);
  void Handle(const replica_message& message, const vote_reply& reply,
              steady_time now);
  void CountVotes(steady_time now);

  // Follower: replica_follower.cc.
  bool FollowLeader(const replica_message& message, std::uint64_t round,
                    steady_time now);
  void Handle(const replica_message& message, const append_request& request,
              steady_time now);
  std::optional<log_index> RejectFrom(const append_request& request) const;
  void Store(log_index previous, const std::vector<log_entry>& entries);
  void Handle(const replica_message& message, const snapshot_chunk& chunk,
              steady_time now);
  void InstallSnapshot(const snapshot_chunk& chunk);

  // Leader: replica_leader.cc.
  void BecomeLeader(steady_time now);
  void CheckContact(steady_time now);
  void Broadcast(steady_time now);
  void SendAppend(const replica_id& to, follower_progress& progress,
                  bool heartbeat);
  void SendChunk(const replica_id& to, const follower_progress& progress,
                 bool with_data);
  follower_progress* HearFollower(const replica_message& message,
                                  std::uint64_t round, steady_time now);
  void Handle(const replica_message& message, const append_reply& reply,
              steady_time now);
  void Handle(const replica_message& message, const snapshot_reply& reply,
              steady_time now);
  void AdvanceCommit();
  void ConsiderAdmission(const replica_id& id,
                         const follower_progress& progress);
  void ResolveReads();
  void EndLeadership();
  template <typename Value, typename ValueOf>
  std::optional<Value> QuorumValue(Value own, ValueOf value_of) const;

  bool IsSilenced(const replica_message& message) const;
  void Append(log_entry entry);
  void Commit(log_index index);
  void Send(const replica_id& to, log_term term,
            decltype(replica_message::body) body);
  void TakeRecords(replica_output& output);
  void TakeCommitted(replica_output& output);

  const replica_settings settings_;
  std::mt19937_64& random_;
  replica_log log_;
  vote_record vote_;
  replica_role role_ = replica_role::follower;
  replica_id leader_;
  log_index commit_ = 0;
  log_index handed_out_ = 0;
  log_index applied_ = 0;

  // Persistence. Entries above persisted_ are not on disk yet.
  bool vote_changed_ = false;
  bool snapshot_changed_ = false;
  log_index unsaved_from_ = 0;
  log_index persisted_ = 0;
  std::uint64_t batch_ = 0;
  std::deque<pending_batch> pending_batches_;

  // Follower and candidate.
  steady_time election_deadline_;
  std::optional<steady_time> leader_heard_;
  vote_tally tally_;
  incoming_snapshot incoming_;

  // Leader.
  std::map<replica_id, follower_progress> progress_;
  log_index term_start_ = 0;
  std::uint64_t round_ = 0;
  steady_time contact_start_;
  steady_time next_heartbeat_;
  bool broadcast_due_ = false;
  std::map<log_index, proposal_hook> proposals_;
  std::deque<pending_read> reads_;

  replica_output output_;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_REPLICA_H_
