#ifndef ALMOND_PROCESSES_ENTRY_CONTROL_H_
#define ALMOND_PROCESSES_ENTRY_CONTROL_H_

#include <vector>

#include "libalmond/controllers/config_holder.h"
#include "libalmond/controllers/evacuation_holder.h"
#include "libalmond/processes/control_client_link.h"
#include "libalmond/processes/entry_process.h"

namespace almond {

/// Integrates an entry with the control processes: configuration, job ledger,
/// directory and takeovers.
class entry_control {
 public:
  /// Time for which the end of a submission is resent to the ledger.
  static constexpr milliseconds kFinishTimeout{30000};
  static constexpr milliseconds kReadTimeout{1000};

  /// Sets the entry's hooks; start the entry afterwards.
  /// @param entry outlives this object
  /// @param control addresses of the control processes, at least one
  entry_control(event_loop& loop, const clock_interface& clock,
                const entry_settings& settings, entry_process& entry,
                std::vector<socket_address> control);
  entry_control(const entry_control&) = delete;
  entry_control& operator=(const entry_control&) = delete;

 private:
  entry_hooks EntryHooks();
  ledger_hooks LedgerHooks();
  control_client::hooks ClientHooks();
  heartbeat_message Heartbeat() const;
  void OnConfig();

  entry_settings settings_;
  entry_process& entry_;
  config_holder config_;
  evacuation_holder evacuations_;
  control_client_link control_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_ENTRY_CONTROL_H_
