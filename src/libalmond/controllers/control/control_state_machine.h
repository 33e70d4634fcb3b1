#ifndef ALMOND_CONTROLLERS_CONTROL_CONTROL_STATE_MACHINE_H_
#define ALMOND_CONTROLLERS_CONTROL_CONTROL_STATE_MACHINE_H_

#include <map>
#include <string>

#include "libalmond/controllers/control/config_store.h"
#include "libalmond/controllers/control/control_command.h"
#include "libalmond/controllers/control/ledger.h"

namespace almond {

/// The replicated state of the control processes: configuration and ledger.
/// The same commands in the same order give the same state and results at each
/// replica.
class control_state_machine {
 public:
  /// @param options limits of the ledger; the same at all replicas
  explicit control_state_machine(ledger_options options = {});

  /// Applies one committed command.
  /// @param command from EncodeCommand
  /// @returns the result for DecodeResult; empty if the command is damaged,
  ///   which changes nothing
  std::string Apply(const std::string& command);

  /// @returns the whole state with a format number
  std::string Snapshot() const;
  /// Replaces the state by a snapshot.
  /// @returns false if the bytes are damaged; the state is then unchanged
  bool Restore(const std::string& snapshot);

  const config_store& Config() const { return config_; }
  const ledger& Ledger() const { return ledger_; }
  /// @returns the replicas that have moved since the first start, by id
  const std::map<std::string, replica_address_change>& MovedReplicas() const {
    return moved_;
  }

 private:
  control_result Run(const ledger_claim_message& claim);
  control_result Run(const ledger_finish_message& finish);
  control_result Run(const takeover_command& takeover);
  control_result Run(const config_change& change);
  control_result Run(const versioned_config& config);
  control_result Run(const replica_address_change& move);

  ledger_options options_;
  config_store config_;
  ledger ledger_;
  std::map<std::string, replica_address_change> moved_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_CONTROL_STATE_MACHINE_H_
