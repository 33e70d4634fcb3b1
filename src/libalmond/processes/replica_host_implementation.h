#ifndef ALMOND_PROCESSES_REPLICA_HOST_IMPLEMENTATION_H_
#define ALMOND_PROCESSES_REPLICA_HOST_IMPLEMENTATION_H_

#include <map>
#include <memory>
#include <optional>

#include "libalmond/processes/replica_host.h"
#include "libalmond/processes/replica_host_links.h"
#include "libalmond/processes/replica_host_storage.h"
#include "libalmond/replication/replica.h"
#include "libalmond/storage/storage_error.h"

namespace almond {

/// Implementation of replica_host: connects the consensus replica to its
/// storage, its peers, the replicated state machine and the event loop.
class replica_host::implementation {
 public:
  implementation(event_loop& loop, const clock_interface& clock,
                 std::mt19937_64& random, metrics_registry& metrics,
                 replica_host_settings settings, state_machine machine,
                 std::unique_ptr<replica_host_storage> storage);

  /// @returns false if the address cannot be bound
  bool Start();
  void Propose(std::string command, proposal_hook on_end);
  void ConfirmRead(read_hook on_end);
  void SetPeerAddress(const replica_id& id, const socket_address& replication);
  const replica& Replica() const { return replica_; }
  replica_id LiveLeader() const {
    return replica_.LiveLeader(clock_.SteadyNow());
  }
  const replica_address* AddressOf(const replica_id& id) const;

 private:
  /// Adds a replica without a known address.
  void AddPeer(const replica_id& id);
  /// Processes the replica's output in the next loop iteration, so that all
  /// input of the current iteration shares one sync.
  void ScheduleFlush();
  void Flush();
  /// Persists one output, then sends its messages and applies its entries.
  /// Keeps the output for a retry if it cannot be written.
  /// @returns false if the output was kept
  bool ProcessOutput(replica_output output);
  /// @returns false if it cannot be written now
  bool Write(const replica_output& output);
  void OnWriteFailed(const storage_error& error);
  void Apply(const replica_output& output);
  void ReportChanges();
  void ReportMembership(const replica_status& status);

  event_loop& loop_;
  const clock_interface& clock_;
  metrics_registry& metrics_;
  replica_host_settings settings_;
  state_machine machine_;
  std::unique_ptr<replica_host_storage> storage_;
  replica replica_;
  replica_host_links links_;
  event_handle tick_timer_;
  event_handle flush_timer_;
  /// Output that could not be written. Until it is, this replica sends nothing,
  /// so that the others elect a leader without it.
  std::optional<replica_output> unwritten_output_;
  steady_time next_write_;
  std::optional<steady_time> failure_logged_at_;

  // Values that were last reported in log lines, metrics and hooks.
  bool leader_ = false;
  bool established_ = false;
  replica_id followed_leader_;
  replica_id known_leader_;
  log_term candidate_term_ = 0;
  bool admitted_ = false;
  bool replaced_ = false;
  std::map<replica_id, replica_incarnation> members_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_REPLICA_HOST_IMPLEMENTATION_H_
