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
#include "libalmond/controllers/route_holder.h"
#include "libalmond/core/decision_log.h"
#include "libalmond/filters/job_filters.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_server.h"
#include "libalmond/processes/control_client_link.h"
#include "libalmond/processes/entry_links.h"
#include "libalmond/processes/run_link_limits.h"

namespace almond {

using run_entry_links = entry_links_of<run_link_codec>;

/// Settings of an entry for parallel jobs.
struct job_entry_settings {
  entry_id id;
  data_centre_id data_centre;
  socket_address listen_http;   ///< for callers
  socket_address listen_ready;  ///< for the balancer's readiness check
  socket_address listen_metrics;
  socket_address listen_peer;  ///< for agents
  std::vector<socket_address> control;
  control_client_timing control_timing;
  /// Time after the signal to end for which new jobs are still taken: the
  /// balancer goes on sending connections until its checks have failed.
  milliseconds drain_accept{3000};
  /// Time after the signal at which the process ends in any case.
  milliseconds drain_limit{5000};
};

/// How an entry speaks with callers: one such set for each interface.
struct job_interface {
  /// Reads verb, host and path.
  std::function<job_context(const http_request&)> decode_request;
  /// Reads the job of a request that was routed.
  std::function<std::variant<job_request, refusal>(const http_request&,
                                                   const job_context&)>
      decode_job;
  std::function<http_response(const job_answer&)> encode_answer;
  std::function<http_response(const refusal&)> encode_refusal;
  /// Encodes the number of jobs of a route of which nothing has started.
  std::function<http_response(std::size_t)> encode_queue;
  /// Reads an accepted configuration.
  std::function<std::optional<route_config>(const std::string&)> decode_routes;
  std::string readiness_path;
};

/// An entry for parallel jobs: wires callers' requests through the filter chain
/// to the job controller, and this to the agents' links.
class job_entry_process {
 public:
  /// All references outlive the entry.
  job_entry_process(event_loop& loop, const clock_interface& clock,
                    job_entry_settings settings, job_interface adapter);
  job_entry_process(const job_entry_process&) = delete;
  job_entry_process& operator=(const job_entry_process&) = delete;

  /// Binds the ports.
  /// @returns nothing, or why it cannot start
  std::optional<std::string> Start();
  /// Fails the readiness check, serves what is in progress and what still
  /// arrives, then calls back.
  void Drain(std::function<void()> on_drained);
  /// Takes other addresses of control processes.
  void SetControl(std::vector<socket_address> control);

  decision_log& Log() { return log_; }

 private:
  control_client::hooks ClientHooks();
  heartbeat_message Heartbeat() const;
  void OnRequest(const http_request& request,
                 const http_server::responder& respond);
  void Submit(const http_request& request, const job_context& context,
              const http_server::responder& respond);
  void OnAbandoned(std::uint64_t request);
  void OnReadiness(const http_request& request,
                   const http_server::responder& respond) const;
  void OnMessage(link_id link, const agent_run_message& message);
  void OnConfig(config_version version, const std::string& document);
  void OnNewest(config_version newest);
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
  endpoint_pool endpoints_;
  run_entry_links links_;
  parallel_job_controller jobs_;
  filter_chain_of<job_context> filters_;
  http_server http_;
  http_server ready_http_;
  http_server metrics_http_;
  control_client_link control_;
  struct waiting_caller {
    job_id job;
    caller_id caller;
    http_server::responder respond;
  };
  /// By the number of their request.
  std::unordered_map<std::uint64_t, waiting_caller> callers_;
  const http_request* decoding_ = nullptr;  ///< the request within the filters
  bool was_fresh_ = false;
  std::optional<steady_time> drain_start_;
  std::function<void()> on_drained_;
  event_handle tick_timer_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_JOB_ENTRY_PROCESS_H_
