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

/// The place of a control process among the replicas.
struct replica_assignment {
  std::string id;
  std::vector<control_address> replicas;  ///< all, with this one
};

/// One replica as its leader sees it.
struct replica_liveness {
  control_address address;
  bool is_leader = false;
  milliseconds silent_for{0};  ///< since the leader last heard of it
};

/// A replica that its leader has not heard of for so long may be replaced.
inline constexpr milliseconds kVacantAfter{3000};

/// Chooses the place of a process with an empty data folder: the one at its own
/// address, or else the one that has been silent for longest.
/// @param own addresses of the process; the id is not read
/// @returns nothing while no place is vacant
std::optional<replica_assignment> ChooseAssignment(
    const std::vector<replica_liveness>& replicas, const control_address& own);

/// @returns the replicas of GET /v1/status, or nothing if it is not of a leader
std::optional<std::vector<replica_liveness>> ParseReplicaLiveness(
    const std::string& status);

/// Reads the assignment that was kept in a data folder.
/// @returns nothing if there is none
std::optional<replica_assignment> LoadAssignment(const std::string& data_dir);
/// Keeps the assignment in a data folder, synced.
/// @returns false if it cannot be written
bool SaveAssignment(const std::string& data_dir,
                    const replica_assignment& assignment);

/// Asks the control processes for a vacant place until there is one.
class assignment_finder {
 public:
  static constexpr milliseconds kAskPeriod{300};
  static constexpr milliseconds kAskTimeout{800};

  /// @param own addresses of this process
  /// @param operators HTTP addresses of control processes, at least one
  /// @param on_found called once
  assignment_finder(event_loop& loop, control_address own,
                    std::vector<socket_address> operators,
                    std::function<void(const replica_assignment&)> on_found);

 private:
  void Ask();
  void OnAnswer(const http_call_result& result);

  event_loop& loop_;
  control_address own_;
  std::vector<socket_address> operators_;
  std::function<void(const replica_assignment&)> on_found_;
  std::size_t next_ = 0;
  std::optional<socket_address> leader_;
  bool asking_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  event_handle timer_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_REPLICA_ASSIGNMENT_H_
