#ifndef ALMOND_PROCESSES_RUN_AGENT_PROCESS_H_
#define ALMOND_PROCESSES_RUN_AGENT_PROCESS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libalmond/controllers/agent/entry_subset.h"
#include "libalmond/controllers/agent/run_controller.h"
#include "libalmond/controllers/evacuation_holder.h"
#include "libalmond/core/decision_log.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_server.h"
#include "libalmond/processes/agent_entry_links.h"
#include "libalmond/processes/control_client_link.h"
#include "libalmond/processes/run_link_timing.h"

namespace almond {

using run_agent_links = agent_entry_links_of<run_link_codec>;

/// Settings of an agent for endpoints that run tasks under leases.
struct run_agent_settings {
  agent_id id;
  data_centre_id data_centre;
  socket_address listen_http;  ///< for the endpoint's announcements
  socket_address listen_metrics;
  std::vector<socket_address> control;
  control_client_timing control_timing;
  /// Time after the termination signal at which the process exits regardless of
  /// runs in progress.
  milliseconds drain_timeout{4500};
  input_limits limits = {};
};

/// An endpoint's notice that it shuts down.
struct endpoint_departure {
  endpoint_id id;
};

/// Translates between the endpoint's HTTP interface and the agent's types.
struct endpoint_interface {
  /// Parses an announcement or a departure.
  /// @returns the message, or the error response to an invalid request
  std::function<std::variant<leased_endpoint, endpoint_departure,
                             http_response>(const http_request&)>
      decode;
  std::function<http_response()> acknowledge;
  // Calls to the endpoint, see run_controller::hooks.
  decltype(run_controller::hooks::start) start;
  decltype(run_controller::hooks::stop) stop;
  decltype(run_controller::hooks::renew) renew;
};

/// An agent for endpoints that run tasks under leases: connects the endpoints
/// and the entries to one run controller for each endpoint.
class run_agent_process {
 public:
  /// Period in which all endpoint states are sent to all entries. The messages
  /// also carry the agent's clock.
  static constexpr milliseconds kAnnouncePeriod{150};
  /// Time during which state changes are collected before they are sent.
  static constexpr milliseconds kStateBatchPeriod{2};
  /// Time for which a link that is to be retired takes no starts before it is
  /// closed. Covers starts that are under way.
  static constexpr milliseconds kRetiringPeriod{1000};

  run_agent_process(event_loop& loop, const clock_interface& clock,
                    run_agent_settings settings, endpoint_interface adapter);
  run_agent_process(const run_agent_process&) = delete;
  run_agent_process& operator=(const run_agent_process&) = delete;

  /// Binds the ports.
  /// @returns nothing, or the error if it cannot start
  std::optional<std::string> Start();
  /// Stops accepting starts and waits for runs in progress, up to the drain
  /// timeout.
  /// @param on_drained called once
  void Drain(std::function<void()> on_drained);
  void SetControl(std::vector<socket_address> control);

  decision_log& Log() { return log_; }
  /// @returns the address for the endpoint's announcements
  const socket_address& HttpAddress() const { return http_.Address(); }

 private:
  control_client::hooks ClientHooks();
  heartbeat_message Heartbeat() const;
  run_controller::hooks RunHooks();
  void OnRequest(const http_request& request,
                 const http_server::responder& respond);
  void OnMessage(link_id link, const entry_run_message& message);
  void OnClosed(link_id link);
  void OnEntries(const std::vector<entry_address>& entries);
  void OnEvacuations(const evacuation_list& list);
  bool IsEvacuated(const run_controller& endpoint) const;
  std::string EndpointKind() const;
  /// Closes the links to entries that are not chosen any more, once they are
  /// unused.
  void RetireLinks();
  bool HasRuns(link_id link) const;
  void ScheduleStateUpdate();
  void SendStates();
  void SendStatesTo(link_id link);
  void Tick();

  event_loop& loop_;
  const clock_interface& clock_;
  run_agent_settings settings_;
  endpoint_interface adapter_;
  incarnation_id incarnation_;
  metrics_registry metrics_;
  decision_log log_;
  evacuation_holder evacuations_;
  run_agent_links links_;
  entry_subset subset_;
  std::size_t alike_agents_ = 0;  ///< 0 if unknown
  /// Links that take no more starts, with the time since when.
  std::map<link_id, steady_time> retiring_;
  std::map<endpoint_id, std::unique_ptr<run_controller>> endpoints_;
  std::map<link_id, std::uint64_t> orders_seen_;
  std::shared_ptr<connection_budget> budget_;
  http_server http_;
  http_server metrics_http_;
  control_client_link control_;
  event_handle tick_timer_;
  event_handle announce_timer_;
  event_handle state_timer_;
  std::optional<steady_time> drain_start_;
  std::function<void()> on_drained_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_RUN_AGENT_PROCESS_H_
