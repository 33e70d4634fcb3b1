#ifndef ALMOND_PROCESSES_CONTROL_STANDBY_H_
#define ALMOND_PROCESSES_CONTROL_STANDBY_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libalmond/core/metrics.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_server.h"
#include "libalmond/net/peer_listener.h"
#include "libalmond/processes/replica_assignment.h"

namespace almond {

/// A control process without a place in the replicated log. Directs processes
/// and operators to the leader, and claims a place once one is vacant or lost.
class control_standby {
 public:
  struct settings {
    control_address own;  ///< addresses of this process; the id is ignored
    /// HTTP addresses of control processes, at least one.
    std::vector<socket_address> http_addresses;
    /// Folder for the addresses of the replicas, with which the process finds
    /// them again after a restart. Without one, it claims no place.
    std::string data_dir;
    /// Adding of places while all present ones are held.
    place_growth growth = {};
    input_limits limits = {};
  };

  /// @param loop the process's loop; outlives the standby
  /// @param clock source of time; outlives the standby
  /// @param on_claimed called once, when a place was claimed
  control_standby(
      event_loop& loop, const clock_interface& clock, settings configured,
      const std::function<void(const replica_assignment&)>& on_claimed);
  control_standby(const control_standby&) = delete;
  control_standby& operator=(const control_standby&) = delete;

  /// Adds an HTTP interface that is asked before the built-in one.
  /// @param serve returns true if it handles the request
  void SetOperatorInterface(
      std::function<bool(const http_request&, const http_server::responder&)>
          serve) {
    operator_interface_ = std::move(serve);
  }
  /// Binds the ports.
  /// @returns nothing, or the error if it cannot start
  std::optional<std::string> Start();
  /// Replaces the addresses at which the leader is looked for.
  /// @param http_addresses at least one
  void SetAddresses(std::vector<socket_address> http_addresses) {
    finder_.SetAddresses(std::move(http_addresses));
  }
  /// @returns the leader's HTTP address, empty if unknown
  std::string LeaderHttpAddress() const;

 private:
  assignment_finder::hooks FinderHooks(
      const std::function<void(const replica_assignment&)>& on_claimed);
  void OnAccept(const std::shared_ptr<peer_link>& link);
  void OnFrame(const std::shared_ptr<peer_link>& link, const frame& encoded);
  std::string LeaderControlAddress() const;

  settings settings_;
  std::function<bool(const http_request&, const http_server::responder&)>
      operator_interface_;
  assignment_finder finder_;
  metrics_registry metrics_;
  std::shared_ptr<connection_budget> budget_;
  http_server http_;
  peer_listener listener_;
  std::set<std::shared_ptr<peer_link>> links_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_CONTROL_STANDBY_H_
