#ifndef ALMOND_CONTROLLERS_CONTROL_CONTROL_COMMAND_H_
#define ALMOND_CONTROLLERS_CONTROL_CONTROL_COMMAND_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libalmond/controllers/control/config_store.h"
#include "libalmond/controllers/control/ledger.h"
#include "libalmond/core/control_messages.h"
#include "libalmond/core/evacuations.h"

namespace almond {

/// A running submission with its epoch at the time of the proposal.
struct takeover_item {
  uuid submission;
  owner_epoch epoch;

  bool operator==(const takeover_item&) const = default;
};

/// Transfers submissions of a dead owner to a live entry.
struct takeover_command {
  ledger_owner successor;
  std::vector<takeover_item> items;
};

/// Records that a replica's addresses have changed.
struct replica_address_change {
  std::string id;
  std::string peer;     ///< IP and port for the other replicas
  std::string control;  ///< IP and port for entries and agents
  std::string http;     ///< IP and port for operators

  bool operator==(const replica_address_change&) const = default;
};

/// Result of replica_address_change.
struct replica_address_change_result {};

/// Assigns a replica's place to a process, unless another process has claimed
/// it first.
struct replica_claim {
  replica_address_change addresses;  ///< of the claiming process
  /// Address for the other replicas that the claim replaces; empty for a
  /// vacant place.
  std::string expected_peer;

  bool operator==(const replica_claim&) const = default;
};

/// Result of replica_claim.
struct replica_claim_result {
  bool accepted = false;
};

/// Result of evacuation_change.
struct evacuation_result {
  evacuation_revision revision;  ///< in which the change is in force

  bool operator==(const evacuation_result&) const = default;
};

/// One entry of the replicated log.
struct control_command {
  /// Leader's clock at the proposal. Applying the command advances the log
  /// time, which replaces the local clock in the replicated state.
  wall_time now;
  std::variant<ledger_claim_message, ledger_finish_message, takeover_command,
               config_change, versioned_config, replica_address_change,
               replica_claim, evacuation_change>
      body;
};

/// Result of a claim; without a reply if the ledger is full.
struct claim_result {
  std::optional<ledger_claim_reply_message> reply;
};

/// Result of a takeover command.
struct takeover_result {
  std::uint32_t taken = 0;  ///< number of submissions transferred
};

/// Result of a command. Both kinds of configuration change give a
/// change_result.
using control_result =
    std::variant<claim_result, ledger_finish_reply_message, takeover_result,
                 change_result, replica_address_change_result,
                 replica_claim_result, evacuation_result>;

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_CONTROL_COMMAND_H_
