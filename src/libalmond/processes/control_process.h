#ifndef ALMOND_PROCESSES_CONTROL_PROCESS_H_
#define ALMOND_PROCESSES_CONTROL_PROCESS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "libalmond/controllers/control/control_service.h"
#include "libalmond/core/metrics.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_server.h"
#include "libalmond/net/peer_listener.h"
#include "libalmond/processes/control_process_api.h"
#include "libalmond/processes/control_process_settings.h"
#include "libalmond/processes/replica_assignment.h"
#include "libalmond/processes/replica_host.h"
#include "libalmond/processes/start_retry.h"

namespace almond {

/// A control process: connects the replicated log to the control state machine,
/// and the control service to entries, agents and the operators' HTTP
/// interface.
class control_process {
 public:
  /// Log entries between snapshots. Writing a snapshot of a full ledger blocks
  /// the loop for longer than several replication heartbeats, so snapshots have
  /// to be rare.
  static constexpr std::size_t kSnapshotAfterEntries = 100000;
  /// Time after which a new place that was not added is given up. Several times
  /// as long as a process takes to join.
  static constexpr milliseconds kNewPlaceTimeout{6000};

  /// @param loop the process's loop; outlives the process
  /// @param clock source of time; outlives the process
  control_process(event_loop& loop, const clock_interface& clock,
                  control_settings settings);
  /// Adds an HTTP interface that is asked before the built-in one.
  /// @param serve returns true if it handles the request
  void SetOperatorInterface(
      std::function<bool(const http_request&, const http_server::responder&)>
          serve) {
    operator_interface_ = std::move(serve);
  }
  control_process(const control_process&) = delete;
  control_process& operator=(const control_process&) = delete;

  /// Opens the data folder and binds the ports.
  /// @returns nothing, or the error if it cannot start
  std::optional<start_error> Start();

  /// @param on_replaced called once if another process has replaced this
  ///   replica, or has its place before this one was admitted; the data folder
  ///   cannot be used any more then
  void OnReplaced(std::function<void()> on_replaced) {
    on_replaced_ = std::move(on_replaced);
  }
  /// @param on_addresses called with the addresses of all replicas when they
  ///   have changed, so that they can be stored for the next start
  void OnAddresses(
      std::function<void(const std::vector<control_address>&)> on_addresses) {
    on_addresses_ = std::move(on_addresses);
  }
  control_service& Service() { return service_; }
  const control_state_machine& State() const { return machine_; }
  /// @returns the leader's HTTP address, empty if unknown
  std::string LeaderHttpAddress() const;

  /// @returns true if this replica is the leader and has contact with a
  ///   majority
  bool IsLeader() const {
    return host_ && host_->LiveLeaderId() == replica_id(settings_.id);
  }
  const socket_address& HttpAddress() const { return http_.Address(); }
  const socket_address& ControlAddress() const { return listener_.Address(); }

 private:
  struct known_address {
    socket_address peer;
    steady_time since;  ///< time at which it was first seen here
  };

  control_service::hooks ServiceHooks();
  control_process_api::hooks ApiHooks();
  replica_host_settings HostSettings() const;
  replica_host::state_machine StateMachineHooks();
  std::optional<start_error> StartHost();
  std::string Apply(const std::string& command);
  void LogEvacuations() const;
  /// @returns the number of replicas that have synced the log, as text for the
  ///   log; empty unless this replica is the leader
  std::string SyncedCopies() const;
  std::vector<data_centre_id> DataCentres() const;
  std::string LeaderId() const;
  /// @returns the addresses of the leader, or nothing if none is live
  std::optional<control_address> LeaderAddress() const;
  /// @returns the current addresses of all replicas
  std::vector<control_address> ReplicaAddresses() const;
  void UpdatePeerAddresses();
  /// Reports the addresses to the hook when they have changed.
  void ReportAddresses();
  void RecordWaiting(const socket_address& peer);
  /// @returns the number of processes that asked for a place lately
  std::size_t CountWaiting();
  /// Gives up a new place that the leader does not add, so that this process
  /// can take over the place of a lost replica.
  void CheckNewPlace(const replica_status& status);
  void ReportAddressChange();
  void CheckPlace();
  /// Asks other control processes for the addresses of all replicas while this
  /// one is not admitted or knows no leader: the leader may send the log to
  /// another process at the same place, and no one else knows this process.
  void FollowReplicas();
  void OnReplicas(const std::vector<control_address>& replicas);
  void EndReplaced(const std::string& reason);
  void ReportLaggingProcesses();
  void RecordAddresses();
  std::vector<replica_summary> Replicas();

  void OnAccept(const std::shared_ptr<peer_link>& link);
  void OnFrame(link_id id, const frame& encoded);
  void Tick();

  event_loop& loop_;
  const clock_interface& clock_;
  control_settings settings_;
  std::mt19937_64 random_;
  metrics_registry metrics_;
  control_state_machine machine_;
  control_service service_;
  control_process_api api_;
  std::function<bool(const http_request&, const http_server::responder&)>
      operator_interface_;
  std::shared_ptr<connection_budget> budget_;
  http_server http_;
  peer_listener listener_;
  std::map<link_id, std::shared_ptr<peer_link>> links_;
  link_id last_link_;
  std::unique_ptr<replica_host> host_;
  event_handle tick_timer_;
  std::function<void()> on_replaced_;
  std::unique_ptr<assignment_finder> finder_;
  /// Addresses that the leader reported to the finder, while there is one.
  std::vector<control_address> reported_replicas_;
  std::map<std::string, known_address> known_addresses_;
  std::function<void(const std::vector<control_address>&)> on_addresses_;
  /// Processes that wait for a place, with the time of their last request.
  std::map<socket_address, steady_time> waiting_;
  /// Time since which a leader is known that has not added this process's
  /// place.
  std::optional<steady_time> unplaced_since_;
  /// Time at which the newest configuration was accepted, until all known
  /// processes have it in force.
  std::optional<steady_time> accepted_at_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_CONTROL_PROCESS_H_
