#ifndef ALMOND_PROCESSES_AGENT_PROCESS_H_
#define ALMOND_PROCESSES_AGENT_PROCESS_H_

#include <functional>
#include <string>
#include <vector>

#include "libalmond/controllers/agent/agent_controller.h"
#include "libalmond/core/dispatch_messages.h"
#include "libalmond/core/metrics.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_server.h"
#include "libalmond/processes/agent_entry_links.h"
#include "libalmond/processes/agent_http.h"
#include "libalmond/processes/endpoint_client.h"

namespace almond {

/// Settings of an agent, from its flags.
struct agent_settings {
  agent_id id;
  data_centre_id data_centre;
  socket_address listen_http;
  /// Entries to dial besides those of the directory.
  std::vector<socket_address> entries;
  /// Control processes; read by agent_control.
  std::vector<socket_address> control = {};
  input_limits limits = {};
};

/// Hooks through which an agent reads its configuration and passes on
/// configuration messages. Each has a default that works without control
/// processes.
struct agent_config_hooks {
  /// @returns the active version, for announcements
  std::function<config_version()> version = [] { return config_version(); };
  /// @returns run time after which a task of the service may be paused; nothing
  ///   disables pausing
  std::function<std::optional<milliseconds>(const service_id&)> suspend_after =
      [](const service_id& /*service*/) {
        return std::optional<milliseconds>(suspension_policy::kSuspendAfter);
      };
  /// @returns JSON for GET /v1/config; empty while there is no configuration
  std::function<std::string()> document = [] { return std::string(); };
  /// Called when an entry reports its configuration version.
  std::function<void(link_id, const entry_hello_message&)> on_hello =
      [](link_id, const entry_hello_message&) {};
  /// Called when an entry requests the agent's configuration.
  std::function<void(link_id)> on_config_request = [](link_id) {};
  /// Called when an entry sends its configuration.
  std::function<void(link_id, const config_snapshot_message&)>
      on_config_snapshot = [](link_id, const config_snapshot_message&) {};
};

/// The agent of one endpoint: connects the agent controller to the entries'
/// connections, to the endpoint and to the HTTP server.
class agent_process {
 public:
  static constexpr milliseconds kTickPeriod{100};
  static constexpr milliseconds kAnnouncePeriod{1000};

  agent_process(event_loop& loop, const clock_interface& clock,
                agent_settings settings);

  /// Replaces the configuration hooks; call before Start.
  void SetConfigHooks(agent_config_hooks callbacks) {
    config_ = std::move(callbacks);
  }

  /// Binds the HTTP port and dials the entries.
  /// @returns false if the port cannot be bound
  bool Start();

  /// Stops granting slots. Tasks whose start an entry has already sent are
  /// finished.
  /// @param on_drained called when no task runs and no grant can still arrive
  void Drain(std::function<void()> on_drained);

  /// Dials these entries in addition to those of the settings.
  /// @param entries addresses listed in the directory
  void SetEntries(const std::vector<socket_address>& entries);
  /// Sends a message to an entry; drops it if the connection is closed.
  void SendToEntry(link_id link, const agent_message& message) {
    links_.Send(link, message);
  }

  /// See agent_controller::SetEvacuated.
  void SetEvacuated(bool evacuated) { controller_.SetEvacuated(evacuated); }

  const socket_address& HttpAddress() const { return http_.Address(); }
  incarnation_id Incarnation() const { return incarnation_; }
  metrics_registry& Metrics() { return metrics_; }
  const agent_controller& Controller() const { return controller_; }

 private:
  agent_controller::hooks ControllerHooks();
  void OnMessage(link_id link, const entry_message& message);
  void Tick();

  event_loop& loop_;
  agent_settings settings_;
  incarnation_id incarnation_;
  metrics_registry metrics_;
  agent_config_hooks config_;
  agent_entry_links links_;
  endpoint_client endpoint_;
  agent_controller controller_;
  agent_http http_api_;
  std::shared_ptr<connection_budget> budget_;
  http_server http_;
  std::function<void()> on_drained_;
  event_handle tick_timer_;
  event_handle announce_timer_;
  event_handle flush_timer_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_AGENT_PROCESS_H_
