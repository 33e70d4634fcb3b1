#ifndef ALMOND_CONTROLLERS_CONTROL_PROCESS_DIRECTORY_H_
#define ALMOND_CONTROLLERS_CONTROL_PROCESS_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libalmond/controllers/control/ledger.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/control_messages.h"

namespace almond {

/// One process as operators see it.
struct process_status {
  heartbeat_message heartbeat;  ///< the last one
  duration age{0};              ///< since the last heartbeat
};

/// Entries and agents by their heartbeats: soft state of the control leader,
/// rebuilt by heartbeats after a change of leader.
class process_directory {
 public:
  /// A process without a heartbeat for so long is not live.
  static constexpr milliseconds kLiveLimit{3000};
  /// An owner without a sign of life for so long is dead. A leader waits as
  /// long after its own start before it declares any owner dead.
  static constexpr milliseconds kOwnerLimit{4000};
  /// A silent process is listed so long to operators.
  static constexpr std::chrono::minutes kListedLimit{10};

  /// @param clock source of time; outlives the directory
  explicit process_directory(const clock_interface& clock);

  /// Starts the wait of a new leader, and also of a leader that did not run
  /// for a while and may have heartbeats that it has not read.
  void RestartOwnerWait();
  /// Stores a heartbeat. While a process is live, a heartbeat of a lower
  /// incarnation is one that was delayed, and is ignored.
  void Heartbeat(const heartbeat_message& heartbeat);
  /// Stores a sign of life of an owner that is no heartbeat, such as a claim.
  void HeardOwner(const ledger_owner& owner);
  /// Drops what is too old to matter.
  void Forget();

  /// @returns live entries, in the order of their ids
  std::vector<entry_address> LiveEntries() const;
  /// @returns all processes heard within kListedLimit
  std::vector<process_status> Processes() const;
  /// @returns true if the owner is silent for kOwnerLimit, or was restarted
  bool OwnerDead(const ledger_owner& owner) const;
  /// @param owner a dead owner
  /// @returns live entries that can take over, those of the owner's data
  ///   centre if there are any; empty if none is live
  std::vector<ledger_owner> Successors(const ledger_owner& owner) const;

 private:
  using key = std::pair<process_role, std::string>;
  struct process {
    heartbeat_message heartbeat;
    steady_time heard;
  };

  bool Live(const process& listed) const;
  const process* Entry(const entry_id& entry) const;

  const clock_interface& clock_;
  steady_time wait_start_;
  std::map<key, process> processes_;
  std::map<ledger_owner, steady_time> owners_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_PROCESS_DIRECTORY_H_
