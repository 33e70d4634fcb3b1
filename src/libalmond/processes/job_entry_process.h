#ifndef ALMOND_PROCESSES_JOB_ENTRY_PROCESS_H_
#define ALMOND_PROCESSES_JOB_ENTRY_PROCESS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libalmond/controllers/entry/parallel_job_controller.h"
#include "libalmond/controllers/evacuation_holder.h"
#include "libalmond/controllers/route_holder.h"
#include "libalmond/core/decision_log.h"
#include "libalmond/filters/job_filters.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_server.h"
#include "libalmond/processes/control_client_link.h"
#include "libalmond/processes/entry_links.h"
#include "libalmond/processes/run_link_timing.h"

namespace almond {

using run_entry_links = entry_links_of<run_link_codec>;

/// Settings of an entry for parallel jobs.
struct job_entry_settings {
  entry_id id;
  data_centre_id data_centre;
  socket_address listen_http;   ///< for callers
  socket_address listen_ready;  ///< for the load balancer's readiness check
  socket_address listen_metrics;
  socket_address listen_peer;  ///< for agents
  std::vector<socket_address> control;
  control_client_timing control_timing;
  /// Time after the termination signal during which new jobs are accepted: the
  /// load balancer sends connections until its checks have failed.
  milliseconds drain_accept_period{3000};
  /// Time after the termination signal at which the process exits regardless of
  /// jobs in progress.
  milliseconds drain_timeout{5000};
  input_limits limits = {};
};

/// Translates between the HTTP interface for callers and the entry's types.
struct job_interface {
  /// Parses verb, host and path.
  std::function<job_context(const http_request&)> decode_request;
  /// Parses the job in the body of a routed request.
  std::function<std::variant<job_request, refusal>(const http_request&,
                                                   const job_context&)>
      decode_job;
  std::function<http_response(const job_answer&)> encode_answer;
  std::function<http_response(const refusal&)> encode_refusal;
  /// Encodes the number of a route's jobs of which no task has started.
  std::function<http_response(std::size_t)> encode_queue;
  /// Parses an accepted configuration.
  std::function<std::optional<route_config>(const std::string&)> decode_routes;
  std::string readiness_path;
};

/// An entry for parallel jobs: passes callers' requests through the filter
/// chain to the job controller and connects the controller to the agents.
class job_entry_process {
 public:
  /// All references outlive the entry.
  job_entry_process(event_loop& loop, const clock_interface& clock,
                    job_entry_settings settings, job_interface adapter);
  job_entry_process(const job_entry_process&) = delete;
  job_entry_process& operator=(const job_entry_process&) = delete;

  /// Binds the ports.
  /// @returns nothing, or the error if it cannot start
  std::optional<std::string> Start();
  /// Fails the readiness check and finishes jobs in progress, including those
  /// that arrive during the accept period, up to the drain timeout.
  /// @param on_drained called once
  void Drain(std::function<void()> on_drained);
  /// Replaces the addresses of the control processes.
  void SetControl(std::vector<socket_address> control);

  decision_log& Log() { return log_; }

 private:
  control_client::hooks ClientHooks();
  heartbeat_message Heartbeat() const;
  void OnRequest(const http_request& request,
                 const http_server::responder& respond);
  void Submit(const http_request& request, const job_context& context,
              const http_server::responder& respond);
  void OnCallerDisconnected(std::uint64_t request);
  void OnReadiness(const http_request& request,
                   const http_server::responder& respond) const;
  void OnMessage(link_id link, const agent_run_message& message);
  void OnConfig(config_version version, const std::string& document);
  void OnNewest(config_version newest);
  void OnEvacuations(const evacuation_list& list);
  void CheckDrained();
  void Tick();

  event_loop& loop_;
  const clock_interface& clock_;
  job_entry_settings settings_;
  job_interface adapter_;
  incarnation_id incarnation_;
  std::mt19937_64 random_;
  metrics_registry metrics_;
  decision_log log_;
  route_holder routes_;
  evacuation_holder evacuations_;
  endpoint_pool endpoints_;
  run_entry_links links_;
  parallel_job_controller jobs_;
  filter_chain_of<job_context> filters_;
  std::shared_ptr<connection_budget> budget_;
  http_server http_;
  http_server readiness_http_;
  http_server metrics_http_;
  control_client_link control_;
  struct waiting_caller {
    job_id job;
    caller_id caller;
    http_server::responder respond;
  };
  /// Callers that wait for a response, by request number.
  std::unordered_map<std::uint64_t, waiting_caller> waiting_callers_;
  /// The request that the filter chain is processing.
  const http_request* current_request_ = nullptr;
  bool was_fresh_ = false;
  std::optional<steady_time> drain_start_;
  std::function<void()> on_drained_;
  event_handle tick_timer_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_JOB_ENTRY_PROCESS_H_
