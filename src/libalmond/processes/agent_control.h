#ifndef ALMOND_PROCESSES_AGENT_CONTROL_H_
#define ALMOND_PROCESSES_AGENT_CONTROL_H_

#include "libalmond/controllers/config_holder.h"
#include "libalmond/controllers/evacuation_holder.h"
#include "libalmond/processes/agent_process.h"
#include "libalmond/processes/control_client_link.h"

namespace almond {

/// Integrates an agent with the control processes: keeps its configuration and
/// the list of entries to dial up to date.
class agent_control {
 public:
  /// Sets the agent's configuration hooks; start the agent afterwards.
  /// @param settings with at least one control address
  /// @param agent outlives this object
  agent_control(event_loop& loop, const clock_interface& clock,
                const agent_settings& settings, agent_process& agent);
  agent_control(const agent_control&) = delete;
  agent_control& operator=(const agent_control&) = delete;

 private:
  agent_config_hooks ConfigHooks();
  control_client::hooks ClientHooks();
  heartbeat_message Heartbeat() const;
  void OnEntries(const std::vector<entry_address>& entries);
  void OnConfig();
  void OnEvacuations(const evacuation_list& list);

  agent_settings settings_;
  agent_process& agent_;
  config_holder config_;
  evacuation_holder evacuations_;
  control_client_link control_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_AGENT_CONTROL_H_
