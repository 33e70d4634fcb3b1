#ifndef ALMOND_PROCESSES_ENTRY_PROCESS_H_
#define ALMOND_PROCESSES_ENTRY_PROCESS_H_

#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "libalmond/controllers/entry/dispatch_controller.h"
#include "libalmond/controllers/entry/job_controller.h"
#include "libalmond/controllers/entry/request_controller.h"
#include "libalmond/controllers/entry/submission_controller.h"
#include "libalmond/core/metrics.h"
#include "libalmond/filters/filter_chain.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_server.h"
#include "libalmond/processes/entry_links.h"
#include "libalmond/processes/entry_metrics.h"

namespace almond {

/// Settings of an entry, read from its flags.
struct entry_settings {
  entry_id id;
  data_centre_id data_centre;
  socket_address listen_http;
  socket_address listen_peer;
  /// Time from the failing health check to the closing of the listener. Lets
  /// the load balancer notice the failing check.
  milliseconds drain_delay{0};
  /// Maximum time for requests in progress after the listener has closed.
  milliseconds drain_timeout{60000};
  input_limits limits = {};
};

/// Hooks of an entry for the ledger and the configuration; each may be empty.
struct entry_hooks {
  ledger_hooks ledger;
  /// @returns the response to GET /v1/config
  std::function<http_response()> config_report;
  /// @returns the reason why the process is unhealthy; empty if it is healthy
  std::function<std::string()> unhealthy;
  std::function<void(link_id)> on_config_request;
  std::function<void(link_id, const config_snapshot_message&)>
      on_config_snapshot;
  /// Called with the configuration version that an agent announced.
  std::function<void(link_id, config_version)> on_agent_version;
  /// Called once when draining starts.
  std::function<void()> on_draining;
};

/// An entry: passes callers' HTTP requests through the filter chain to the
/// controllers and connects the controllers to the agents.
class entry_process {
 public:
  static constexpr milliseconds kTickPeriod{50};
  static constexpr milliseconds kHelloPeriod{1000};

  entry_process(event_loop& loop, const clock_interface& clock,
                entry_settings settings);

  /// Sets the hooks; call before Start.
  void SetHooks(entry_hooks hooks);

  /// Binds the ports.
  /// @returns false if one of them cannot be bound
  bool Start();

  /// Fails the health check, closes the listener after the drain delay and lets
  /// requests in progress finish.
  /// @param on_drained called once with the number of requests that are still
  ///   in progress: 0, or more after the drain timeout
  void Drain(std::function<void(std::size_t)> on_drained);
  bool Draining() const { return draining_; }

  /// Activates a configuration.
  /// @param version announced to the agents
  void SetConfig(data_centre_config config, config_version version = {});

  /// See dispatch_controller::SetEvacuations.
  void SetEvacuations(const evacuation_list& list) {
    dispatch_.SetEvacuations(list);
  }

  /// Sends a message to one agent, such as a configuration.
  void SendToAgent(link_id link, const entry_message& message) {
    links_.Send(link, message);
  }
  /// Finishes a submission whose owner has failed.
  void TakeOver(const ledger_record& record) { submissions_.TakeOver(record); }

  const socket_address& HttpAddress() const { return http_.Address(); }
  const socket_address& PeerAddress() const { return links_.Address(); }
  incarnation_id Incarnation() const { return incarnation_; }
  metrics_registry& Metrics() { return metrics_; }
  /// @returns number of requests in progress
  std::size_t Pending() const { return http_.Pending(); }
  std::size_t AgentCount(const service_id& service) const {
    return dispatch_.AgentCount(service);
  }

 private:
  dispatch_controller::hooks DispatchHooks();
  void OnAgentMessage(link_id link, const agent_message& message);

  // Callers' requests; defined in entry_process_http.cc.
  void OnHttp(const http_request& request,
              const http_server::responder& respond);
  void OnSubmission(const http_request& request,
                    const http_server::responder& respond);
  void OnJobRequest(const http_request& request,
                    const http_server::responder& respond);
  void Submit(request_context& context, const http_server::responder& respond);
  void Refuse(const refusal& refused, const http_server::responder& respond);
  /// @param complete true if the request has passed all of `filters_`
  void RefuseSubmission(request_context& context, bool complete,
                        const refusal& refused,
                        const http_server::responder& respond);
  job_controller::answer_hook AnswerHook(bool is_job,
                                         const http_server::responder& respond);
  http_response Health() const;
  std::vector<task> MakeTasks(request_context& context);

  void OnTaskEnd(const task_end& end);
  void Tick();
  void CheckDrained();

  event_loop& loop_;
  const clock_interface& clock_;
  entry_settings settings_;
  incarnation_id incarnation_;
  std::mt19937_64 random_;
  metrics_registry metrics_;
  entry_metrics task_metrics_;
  entry_hooks hooks_;
  std::optional<data_centre_config> config_;
  config_version version_;
  dispatch_controller dispatch_;
  job_controller jobs_;
  request_controller requests_;
  submission_controller submissions_;
  filter_chain filters_;
  filter_chain admission_filters_;
  std::shared_ptr<connection_budget> budget_;
  http_server http_;
  entry_links links_;
  bool draining_ = false;
  bool listener_closed_ = false;  ///< the listener has closed
  steady_time drain_end_;
  std::function<void(std::size_t)> on_drained_;
  event_handle tick_timer_;
  event_handle hello_timer_;
  event_handle drain_timer_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_ENTRY_PROCESS_H_
