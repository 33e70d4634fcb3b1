#ifndef ALMOND_CONTROLLERS_CONTROL_PROCESS_DIRECTORY_H_
#define ALMOND_CONTROLLERS_CONTROL_PROCESS_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libalmond/controllers/control/ledger.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/control_messages.h"

namespace almond {

/// Status of one process, for operators.
struct process_status {
  heartbeat_message heartbeat;  ///< the latest one
  duration age{0};              ///< time since the latest heartbeat
};

/// What heartbeat replies say about the live processes.
struct live_processes {
  std::vector<entry_address> entries;  ///< ordered by id
  std::uint64_t entries_digest = 0;    ///< equal lists have equal digests
  /// Numbers of agents by the kind of their endpoints.
  std::map<std::string, std::uint32_t> agents_by_kind;
};

/// Tracks entries and agents by their heartbeats. Soft state of the control
/// leader: a new leader rebuilds it from the heartbeats that it receives.
class process_directory {
 public:
  /// Time without a heartbeat after which a process is no longer live.
  static constexpr milliseconds kLivenessTimeout{3000};
  /// Time without contact after which an owner counts as dead. A new leader
  /// waits for the same time before it declares any owner dead.
  static constexpr milliseconds kOwnerTimeout{4000};
  /// Time for which a silent process stays in the list for operators.
  static constexpr std::chrono::minutes kRetentionPeriod{10};
  /// Time after which the live processes are determined again, so that a
  /// heartbeat does not cost time for each process.
  static constexpr milliseconds kLiveProcessesPeriod{100};

  /// @param clock source of time; outlives the directory
  explicit process_directory(const clock_interface& clock);

  /// Declares no owner dead for the next kOwnerTimeout. Called by a new leader,
  /// and by a leader that was suspended and may have unread heartbeats.
  void RestartGracePeriod();
  /// @returns true if each live process has had the time to send a heartbeat
  ///   since the last call of RestartGracePeriod
  bool IsComplete() const {
    return clock_.SteadyNow() - grace_start_ >= kLivenessTimeout;
  }
  /// Records a heartbeat. While a process is live, a heartbeat of a lower
  /// incarnation is a delayed one and is ignored.
  void RecordHeartbeat(const heartbeat_message& heartbeat);
  /// Records contact with an owner by a message other than a heartbeat, such as
  /// a claim.
  void RecordOwnerContact(const ledger_owner& owner);
  /// Removes processes and owners without contact for kRetentionPeriod.
  void RemoveExpired();

  /// @returns the live entries, ordered by id
  std::vector<entry_address> LiveEntries() const;
  /// @returns the live processes, at most kLiveProcessesPeriod old and never
  ///   without a process whose heartbeat was recorded
  const live_processes& LiveProcesses();
  /// @returns number of live agents with endpoints of this kind; 0 if the kind
  ///   is empty, or until all live agents have sent a heartbeat after
  ///   RestartGracePeriod
  std::uint32_t AlikeAgents(const std::string& endpoint_kind);
  /// @returns true if a process of the data centre has sent a heartbeat within
  ///   kRetentionPeriod
  bool HasDataCentre(const data_centre_id& data_centre) const;
  /// @returns true for kOwnerTimeout after RestartGracePeriod, while live
  ///   processes may be missing
  bool InGracePeriod() const {
    return clock_.SteadyNow() - grace_start_ < kOwnerTimeout;
  }
  /// @returns all processes with a heartbeat within kRetentionPeriod
  std::vector<process_status> Processes() const;
  /// @returns true if there was no contact with the owner for kOwnerTimeout, or
  ///   if its entry is live under a higher incarnation; always false for
  ///   kOwnerTimeout after RestartGracePeriod
  bool IsOwnerDead(const ledger_owner& owner) const;
  /// @param owner a dead owner
  /// @returns the entries that can take over the owner's submissions: of those
  ///   that are live and not leaving, the ones in the owner's data centre or,
  ///   if there are none there, the ones in all data centres; may be empty
  std::vector<ledger_owner> Successors(const ledger_owner& owner) const;

 private:
  using key = std::pair<process_role, std::string>;
  struct process {
    heartbeat_message heartbeat;
    steady_time received_at;
  };

  bool IsLive(const process& listed) const;
  const process* FindEntry(const entry_id& entry) const;

  const clock_interface& clock_;
  steady_time grace_start_;
  std::map<key, process> processes_;
  live_processes live_;
  std::optional<steady_time> live_determined_;  ///< empty if outdated
  std::map<ledger_owner, steady_time> owners_;  // time of the last contact
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_PROCESS_DIRECTORY_H_
