#ifndef ALMOND_REPLICATION_SIMULATED_REPLICA_H_
#define ALMOND_REPLICATION_SIMULATED_REPLICA_H_

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "libalmond/replication/replica.h"
#include "replication/log_history.h"

namespace almond {

/// One replica with an in-memory state machine and disk. A sync takes time, and
/// records that are not synced may be lost when the replica is killed.
class simulated_replica {
 public:
  using send_hook = std::function<void(const replica_message&)>;

  simulated_replica(replica_settings settings, std::mt19937_64& random,
                    log_history& history, send_hook send);

  /// @param joining replicas without a place that are known at each start
  void SetJoining(std::vector<replica_id> joining) {
    joining_ = std::move(joining);
  }
  void Start(steady_time now);
  /// Kills the replica and drops a random part of its pending syncs.
  void Kill();
  /// Empties the disk of a killed replica.
  /// @param incarnation incarnation of the emptied disk
  void WipeDisk(replica_incarnation incarnation);
  /// Handles timeouts, completes due syncs and executes the replica's output.
  void Step(steady_time now);
  void Receive(const replica_message& message, steady_time now);
  void Propose(const std::string& command);
  void Read();

  bool Running() const { return replica_ != nullptr; }
  replica_status Status() const { return replica_->Status(); }
  replica_id LiveLeader(steady_time now) const {
    return replica_->LiveLeader(now);
  }
  bool IsEstablished() const { return replica_->IsEstablished(); }
  replica_incarnation Incarnation() const { return settings_.incarnation; }
  const replica_id& Id() const { return settings_.self; }

  /// @returns a copy of the disk's content, for RestoreDisk
  persistent_state Disk() const { return disk_; }
  void RestoreDisk(persistent_state disk, replica_incarnation incarnation);
  void SetMaxSyncTime(milliseconds time) { max_sync_time_ = time; }
  /// Injects a bug: syncs are reported before they are done.
  void AcknowledgeBeforeSync() { early_acknowledgement_ = true; }

 private:
  struct pending_sync {
    std::uint64_t batch = 0;
    std::vector<persistent_record> records;
    std::vector<replica_message> messages;
    steady_time due;
  };
  void CarryOut(replica_output output, steady_time now);
  void Finish(const pending_sync& sync);
  void ApplyCommitted(const replica_output& output);
  void WriteRecords(const std::vector<persistent_record>& records);

  replica_settings settings_;
  std::vector<replica_id> joining_;
  std::mt19937_64& random_;
  log_history& history_;
  send_hook send_;
  milliseconds max_sync_time_{20};
  bool early_acknowledgement_ = false;

  persistent_state disk_;
  std::deque<pending_sync> syncs_;
  std::unique_ptr<replica> replica_;
  log_history::state_digest state_ = 0;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_SIMULATED_REPLICA_H_
