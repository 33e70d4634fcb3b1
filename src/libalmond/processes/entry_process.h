#ifndef ALMOND_PROCESSES_ENTRY_PROCESS_H_
#define ALMOND_PROCESSES_ENTRY_PROCESS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "libalmond/controllers/entry/dispatch_controller.h"
#include "libalmond/controllers/entry/job_controller.h"
#include "libalmond/core/metrics.h"
#include "libalmond/filters/filter_chain.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_server.h"
#include "libalmond/net/peer_listener.h"

namespace almond {

/// Settings of an entry, from its flags.
struct entry_settings {
  entry_id id;
  data_centre_id data_centre;
  socket_address listen_http;
  socket_address listen_peer;
};

/// An entry: wires callers' HTTP requests through the filter chain to the job
/// and dispatch controllers, and these to the agents' links.
class entry_process {
 public:
  static constexpr milliseconds kTickPeriod{50};
  static constexpr milliseconds kHelloPeriod{1000};

  entry_process(event_loop& loop, const clock_interface& clock,
                entry_settings settings);

  /// Binds the ports.
  /// @returns false if one of them cannot be bound
  bool Start();

  /// Refuses new requests and lets those in progress finish.
  /// @param on_drained called when the last response has been handed over
  void Drain(std::function<void()> on_drained);

  /// Puts a configuration into force.
  void SetConfig(site_config config) { config_ = std::move(config); }

  const socket_address& HttpAddress() const { return http_.Address(); }
  const socket_address& PeerAddress() const { return listener_.Address(); }
  std::size_t Agents(const service_id& service) const {
    return dispatch_.Agents(service);
  }

 private:
  void OnHttp(const http_request& request,
              const http_server::responder& respond);
  void OnSubmission(const http_request& request,
                    const http_server::responder& respond);
  http_response OnJobRequest(const http_request& request);
  http_response Health() const;
  void Refuse(const refusal& refused, const http_server::responder& respond);
  std::vector<task> MakeTasks(request_context& context);

  void OnAccept(const std::shared_ptr<peer_link>& link);
  void OnFrame(link_id link, const frame& encoded);
  void OnTaskEnd(const task_end& end);
  void Tick();

  event_loop& loop_;
  const clock_interface& clock_;
  entry_settings settings_;
  incarnation_id incarnation_;
  std::mt19937_64 random_;
  metrics_registry metrics_;
  std::optional<site_config> config_;
  dispatch_controller dispatch_;
  job_controller jobs_;
  filter_chain filters_;
  http_server http_;
  peer_listener listener_;
  std::map<link_id, std::shared_ptr<peer_link>> links_;
  link_id last_link_;
  bool draining_ = false;
  std::function<void()> on_drained_;
  event_handle tick_timer_;
  event_handle hello_timer_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_ENTRY_PROCESS_H_
