#ifndef ALMOND_PROCESSES_REPLICA_ASSIGNMENT_H_
#define ALMOND_PROCESSES_REPLICA_ASSIGNMENT_H_

#include <boost/leaf/result.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_client.h"
#include "libalmond/processes/control_process_settings.h"

namespace almond {

/// The replica id of a control process and the addresses of all replicas.
struct replica_assignment {
  std::string id;  ///< empty for a process without a place
  std::vector<control_address> replicas;  ///< all, including this one
};

/// State of one replica as the leader reports it.
struct replica_liveness {
  control_address address;
  bool is_leader = false;
  milliseconds silent_for{0};  ///< time since its last contact with the leader
  bool admitted = true;        ///< is a voter
};

/// Adding of places to a running cluster.
struct place_growth {
  std::size_t max_places = 0;  ///< number of places to grow to; 0 for none
  /// Time for which a new place must be possible before it is claimed, so that
  /// the successor of a replica that is lost meanwhile takes over its place.
  milliseconds delay{0};
};

/// Time without contact to the leader after which a replica may be replaced.
inline constexpr milliseconds kReplicaLossTimeout{3000};
/// Time without contact to the leader after which a replica counts as absent
/// and no place is added.
inline constexpr milliseconds kReplicaAbsenceTimeout{1000};
/// place_growth::delay of a process that joins a running cluster.
inline constexpr milliseconds kGrowthDelay{4000};
static_assert(kGrowthDelay > kReplicaLossTimeout);

/// @param tolerated_losses number of replicas that may be lost at once, with
///   their disks
/// @param founders number of replicas that form the cluster, at least 1
/// @returns the number of replicas of a new cluster. A majority of them remains
///   after the losses, unless there are too few founders: all founders together
///   have to be a majority, so that they can elect a leader.
std::size_t ReplicaCount(std::size_t tolerated_losses, std::size_t founders);

/// Adds vacant places until the assignment has that number of replicas.
void AddVacantPlaces(std::size_t replicas, replica_assignment& assignment);

/// Chooses the place that a process with an empty data folder claims: the one
/// at its own address, or else a vacant one, or else that of the lost replica
/// that has been silent longest.
/// @param own addresses of the process; the id is ignored
/// @returns nothing while there is no such place
std::optional<replica_assignment> ChooseAssignment(
    const std::vector<replica_liveness>& replicas, const control_address& own);

/// Chooses the new place that a process with an empty data folder claims. There
/// is one only while all present places are held by replicas in contact with
/// the leader, and enough processes wait to make the number of places odd: an
/// even number tolerates no more losses than one less.
/// @param own addresses of the process; the id is ignored
/// @param waiting number of processes without a place, including this one
/// @param max_places number of places to grow to
/// @returns nothing while no place can be added
std::optional<replica_assignment> ChooseNewPlace(
    const std::vector<replica_liveness>& replicas, const control_address& own,
    std::size_t waiting, std::size_t max_places);

/// @param status body of GET /v1/replicas
/// @returns the number of processes that wait for a place
std::size_t ParseWaitingCount(const std::string& status);

/// @param status body of GET /v1/replicas
/// @returns the replicas, or nothing if the body is not a leader's response
std::optional<std::vector<replica_liveness>> ParseReplicaLiveness(
    const std::string& status);

/// Reads the assignment stored in a data folder.
/// @returns the assignment, nothing if there is none or it is damaged, or
///   storage_error if it cannot be read now
boost::leaf::result<std::optional<replica_assignment>> LoadAssignment(
    const std::string& data_dir);
/// Stores and syncs the assignment in a data folder.
/// @returns nothing once it is durable, or storage_error
boost::leaf::result<void> SaveAssignment(const std::string& data_dir,
                                         const replica_assignment& assignment);

/// Follows the leader of the control processes and claims a place in the
/// replicated log once there is one.
class assignment_finder {
 public:
  static constexpr milliseconds kSearchPeriod{100};
  /// Period of the polls while no place can be claimed.
  static constexpr milliseconds kIdlePeriod{1000};
  static constexpr milliseconds kPollTimeout{800};

  struct hooks {
    /// Called once, after the leader has accepted the claim; if it is not set,
    /// no place is claimed.
    std::function<void(const replica_assignment&)> on_claimed;
    /// Called with the addresses of all replicas when they have changed.
    std::function<void(const std::vector<control_address>&)> on_replicas;
  };

  /// @param own addresses of this process
  /// @param http_addresses of control processes, at least one
  assignment_finder(event_loop& loop, const clock_interface& clock,
                    control_address own,
                    std::vector<socket_address> http_addresses, hooks callbacks,
                    place_growth growth = {});

  void SetAddresses(std::vector<socket_address> http_addresses) {
    http_addresses_ = std::move(http_addresses);
  }
  /// @returns the leader, if the last poll reached it
  const std::optional<control_address>& Leader() const { return leader_; }

 private:
  void SchedulePoll(milliseconds delay);
  void RequestReplicas();
  void OnReplicas(const http_call_result& result);
  /// @returns the place to be claimed now, if any
  std::optional<replica_assignment> ChoosePlace(
      const std::vector<replica_liveness>& replicas, std::size_t waiting);
  void Claim(replica_assignment assignment);
  void OnClaimed(const replica_assignment& assignment,
                 const http_call_result& result);
  socket_address NextAddress();

  event_loop& loop_;
  const clock_interface& clock_;
  control_address own_;
  std::vector<socket_address> http_addresses_;
  hooks hooks_;
  place_growth growth_;
  std::optional<steady_time> growth_possible_since_;
  std::size_t next_address_ = 0;
  std::optional<control_address> leader_;
  /// Address that another control process named as the leader's.
  std::optional<socket_address> redirect_;
  std::vector<control_address> replicas_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  event_handle timer_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_REPLICA_ASSIGNMENT_H_
