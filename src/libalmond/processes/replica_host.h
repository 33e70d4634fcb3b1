#ifndef ALMOND_PROCESSES_REPLICA_HOST_H_
#define ALMOND_PROCESSES_REPLICA_HOST_H_

#include <boost/leaf/result.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/metrics.h"
#include "libalmond/core/socket_address.h"
#include "libalmond/net/connection_budget.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/replication/replica_results.h"

namespace almond {

/// Addresses of one replica of the control log.
struct replica_address {
  replica_id id;
  /// For the other replicas; port 0 while the place is vacant.
  socket_address replication;
  socket_address service;  ///< for clients; only returned by Leader
  bool founder = true;     ///< see replica_settings::founders
  bool added = false;      ///< has no place at the bootstrap
};

/// Settings of one replica.
struct replica_host_settings {
  std::string cluster;  ///< id; a data folder of another cluster is rejected
  replica_id self;
  std::vector<replica_address> replicas;  ///< all, including this one
  std::string data_folder;                ///< created if it does not exist
  /// Initialises an empty data folder as part of a new cluster. Valid only at
  /// the first start of a cluster, and then for every replica.
  bool bootstrap = false;
  /// Number of log entries after which a snapshot is taken.
  std::size_t snapshot_after_entries = 10000;
  std::size_t max_places = 0;  ///< see replica_settings::max_places
  /// Limits the connections that other processes open, if set.
  std::shared_ptr<connection_budget> budget = nullptr;
};

/// Runs one replica of the control log on the event loop, with connections to
/// the other replicas and a data folder. After a failed write or sync it
/// retries and acknowledges nothing until the write succeeds.
class replica_host {
 public:
  /// Hooks of the replicated state machine.
  struct state_machine {
    /// Applies a committed command; called in log order, once for each index
    /// since the last restore.
    /// @returns the result for the proposer
    std::function<std::string(log_index, const std::string&)> apply;
    /// @returns the serialised state
    std::function<std::string()> snapshot;
    /// Replaces the state by an earlier result of `snapshot`.
    std::function<void(const std::string&)> restore;
    /// Called after this replica became or ceased to be the leader, after it
    /// became an established one, and after a follower has lost its leader or
    /// follows another; optional.
    std::function<void()> on_leader_change;
  };

  /// Opens the data folder, restores the state machine and starts the replica.
  /// @param loop the process's loop; outlives the host
  /// @param clock source of time; outlives the host
  /// @param random source of election timeouts and of a new incarnation
  /// @param metrics receives almond_log_* metrics; outlives the host
  /// @param settings this replica and its peers
  /// @param machine hooks; called on the loop, `restore` also during this call
  /// @returns the host, or storage_error or replica_host_error
  static boost::leaf::result<std::unique_ptr<replica_host>> Start(
      event_loop& loop, const clock_interface& clock, std::mt19937_64& random,
      metrics_registry& metrics, replica_host_settings settings,
      state_machine machine);
  ~replica_host();
  replica_host(const replica_host&) = delete;
  replica_host& operator=(const replica_host&) = delete;

  /// Proposes a command for the log.
  /// @param command at most kMaxCommandBytes
  /// @param on_end called once, asynchronously on the loop
  void Propose(std::string command, proposal_hook on_end);
  /// Checks that this replica is still the leader and its state is current.
  /// @param on_end called once, asynchronously on the loop; if it gets true, it
  ///   may read the state machine during the call
  void ConfirmRead(read_hook on_end);

  /// Changes the address at which another replica is dialled. A replica that is
  /// not known yet may be given a new place.
  void SetPeerAddress(const replica_id& id, const socket_address& replication);

  bool IsLeader() const;
  /// @returns see replica::IsEstablished
  bool IsEstablished() const;
  /// @returns the leader's addresses, or nothing if no leader is known
  std::optional<replica_address> Leader() const;
  /// @returns the leader's id, empty if no leader is known
  replica_id LeaderId() const;
  /// @returns the leader to which others may be directed, see
  ///   replica::LiveLeader
  replica_id LiveLeaderId() const;
  replica_status Status() const;

  /// Maximum size of a command in bytes; a larger one ends as `not_leader`.
  static constexpr std::size_t kMaxCommandBytes = std::size_t{8} << 20U;

 private:
  class implementation;
  explicit replica_host(std::unique_ptr<implementation> state);

  std::unique_ptr<implementation> implementation_;
};

/// Invalid settings, or an address that cannot be bound.
struct replica_host_error {
  std::string message;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_REPLICA_HOST_H_
