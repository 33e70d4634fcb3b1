#ifndef ALMOND_PROCESSES_AGENT_PROCESS_H_
#define ALMOND_PROCESSES_AGENT_PROCESS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "libalmond/controllers/agent/endpoint_announcement.h"
#include "libalmond/controllers/agent/slot_controller.h"
#include "libalmond/controllers/agent/start_table.h"
#include "libalmond/core/dispatch_messages.h"
#include "libalmond/core/metrics.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_client.h"
#include "libalmond/net/http_server.h"
#include "libalmond/net/peer_dialer.h"

namespace almond {

/// Settings of an agent, from its flags.
struct agent_settings {
  agent_id id;
  data_centre_id data_centre;
  socket_address listen_http;
  /// Entries to dial besides those of the directory.
  std::vector<socket_address> entries;
};

/// The agent beside one endpoint: wires the start table and the slot
/// controller to the entries' links and to the endpoint.
class agent_process {
 public:
  static constexpr milliseconds kTickPeriod{100};
  static constexpr milliseconds kAnnouncePeriod{1000};
  /// An endpoint that is not announced for so long counts as gone.
  static constexpr milliseconds kEndpointTimeout{3000};
  /// Added to the caller's time left as limit for the endpoint's answer.
  static constexpr milliseconds kAnswerGrace{60000};

  agent_process(event_loop& loop, const clock_interface& clock,
                agent_settings settings);

  /// Binds the HTTP port and dials the entries.
  /// @returns false if the port cannot be bound
  bool Start();

  /// Stops granting; starts that entries already sent are finished.
  /// @param on_drained called when no task runs and no grant can still arrive
  void Leave(std::function<void()> on_drained);

  /// Dials exactly these entries, as listed by the directory or the settings.
  void SetEntries(const std::vector<socket_address>& entries);

  const socket_address& HttpAddress() const { return http_.Address(); }
  incarnation_id Incarnation() const { return incarnation_; }

 private:
  struct entry_connection {
    link_id link;  ///< changes with each connection
    std::unique_ptr<peer_dialer> dialer;
  };

  void OnHttp(const http_request& request,
              const http_server::responder& respond);
  http_response PutEndpoint(const http_request& request);
  void Tick();
  void CheckDrained();
  void UpdateSlots();

  void Dial(const socket_address& address);
  void OnConnected(const socket_address& address);
  void OnClosed(const socket_address& address);
  void OnFrame(const socket_address& address, const frame& encoded);
  void OnMessage(entry_connection& from, const entry_message& message);
  void OnStart(entry_connection& from, const start_message& start);
  void OnQuery(entry_connection& from, const query_message& query);
  void OnCancel(const cancel_message& cancel);
  void StartOnEndpoint(const start_message& start);
  void OnEndpointAnswer(const task_name& name, steady_time started,
                        const http_call_result& result);
  void End(answer_message answer);
  void Allocate();
  void Announce();
  void Send(link_id link, const agent_message& message);

  event_loop& loop_;
  const clock_interface& clock_;
  agent_settings settings_;
  incarnation_id incarnation_;
  metrics_registry metrics_;
  start_table starts_;
  slot_controller slots_;
  http_server http_;
  std::optional<endpoint_announcement> endpoint_;
  steady_time last_announcement_;
  bool leaving_ = false;
  std::function<void()> on_drained_;
  steady_time leave_time_;
  std::map<socket_address, entry_connection> entries_;
  /// Connection that each running task's answer goes to.
  std::unordered_map<task_name, link_id> origins_;
  link_id last_link_;
  event_handle tick_timer_;
  event_handle announce_timer_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_AGENT_PROCESS_H_
