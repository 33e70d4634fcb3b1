#ifndef ALMOND_CONTROLLERS_CONTROL_CONTROL_STATE_MACHINE_H_
#define ALMOND_CONTROLLERS_CONTROL_CONTROL_STATE_MACHINE_H_

#include <map>
#include <string>

#include "libalmond/controllers/control/config_store.h"
#include "libalmond/controllers/control/control_command.h"
#include "libalmond/controllers/control/evacuation_store.h"
#include "libalmond/controllers/control/ledger.h"

namespace almond {

/// The replicated state of the control processes: configuration, ledger,
/// replica addresses and evacuations. Deterministic: the same commands in the
/// same order give the same state and results at every replica.
class control_state_machine {
 public:
  /// @param options limits of the ledger; must be equal at all replicas
  explicit control_state_machine(ledger_options options = {});

  /// Applies one committed command.
  /// @param command from EncodeCommand
  /// @returns the result for DecodeResult; empty if the command is malformed
  ///   and so does not change the state
  std::string Apply(const std::string& command);

  /// @returns the serialized state, starting with a format number
  std::string Snapshot() const;
  /// Replaces the state with a snapshot.
  /// @returns false if the bytes are malformed; the state is then unchanged
  bool Restore(const std::string& snapshot);

  const config_store& Config() const { return config_; }
  const ledger& Ledger() const { return ledger_; }
  const evacuation_store& Evacuations() const { return evacuations_; }
  /// @returns the replicas whose addresses have changed since the bootstrap, by
  ///   id
  const std::map<std::string, replica_address_change>& MovedReplicas() const {
    return address_changes_;
  }

 private:
  control_result Execute(const ledger_claim_message& claim);
  control_result Execute(const ledger_finish_message& finish);
  control_result Execute(const takeover_command& takeover);
  control_result Execute(const config_change& change);
  control_result Execute(const versioned_config& config);
  control_result Execute(const replica_address_change& change);
  control_result Execute(const replica_claim& claim);
  control_result Execute(const evacuation_change& change);

  ledger_options options_;
  config_store config_;
  ledger ledger_;
  std::map<std::string, replica_address_change> address_changes_;
  evacuation_store evacuations_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_CONTROL_STATE_MACHINE_H_
