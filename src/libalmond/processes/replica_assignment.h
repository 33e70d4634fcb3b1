#ifndef ALMOND_PROCESSES_REPLICA_ASSIGNMENT_H_
#define ALMOND_PROCESSES_REPLICA_ASSIGNMENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_client.h"
#include "libalmond/processes/control_process_settings.h"

namespace almond {

/// The replica id of a control process and the addresses of all replicas.
struct replica_assignment {
  std::string id;
  std::vector<control_address> replicas;  ///< all, including this one
};

/// State of one replica as the leader reports it.
struct replica_liveness {
  control_address address;
  bool is_leader = false;
  milliseconds silent_for{0};  ///< time since its last contact with the leader
};

/// Time without contact to the leader after which a replica may be replaced.
inline constexpr milliseconds kReplicaLossTimeout{3000};

/// Chooses the replica that a process with an empty data folder replaces: the
/// one at its own address, or else the lost one that has been silent longest.
/// @param own addresses of the process; the id is ignored
/// @returns nothing while no replica may be replaced
std::optional<replica_assignment> ChooseAssignment(
    const std::vector<replica_liveness>& replicas, const control_address& own);

/// @param status body of GET /v1/status
/// @returns the replicas, or nothing if the body is not a leader's response
std::optional<std::vector<replica_liveness>> ParseReplicaLiveness(
    const std::string& status);

/// Reads the assignment stored in a data folder.
/// @returns nothing if there is none or it cannot be read
std::optional<replica_assignment> LoadAssignment(const std::string& data_dir);
/// Stores and syncs the assignment in a data folder.
/// @returns false if it cannot be written
bool SaveAssignment(const std::string& data_dir,
                    const replica_assignment& assignment);

/// Polls the control processes until a replica may be replaced.
class assignment_finder {
 public:
  static constexpr milliseconds kPollPeriod{300};
  static constexpr milliseconds kPollTimeout{800};

  /// @param own addresses of this process
  /// @param http_addresses of control processes, at least one
  /// @param on_found called once
  assignment_finder(event_loop& loop, control_address own,
                    std::vector<socket_address> http_addresses,
                    std::function<void(const replica_assignment&)> on_found);

 private:
  void RequestStatus();
  void OnStatusResponse(const http_call_result& result);

  event_loop& loop_;
  control_address own_;
  std::vector<socket_address> http_addresses_;
  std::function<void(const replica_assignment&)> on_found_;
  std::size_t next_address_ = 0;
  std::optional<socket_address> leader_;
  bool request_in_flight_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  event_handle timer_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_REPLICA_ASSIGNMENT_H_
