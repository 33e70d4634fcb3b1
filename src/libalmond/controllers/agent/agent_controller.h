#ifndef ALMOND_CONTROLLERS_AGENT_AGENT_CONTROLLER_H_
#define ALMOND_CONTROLLERS_AGENT_AGENT_CONTROLLER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "libalmond/controllers/agent/endpoint_controller.h"
#include "libalmond/controllers/agent/slot_controller.h"
#include "libalmond/controllers/agent/start_table.h"
#include "libalmond/controllers/agent/suspension_controller.h"
#include "libalmond/controllers/agent/task_control.h"
#include "libalmond/core/dispatch_messages.h"
#include "libalmond/core/metrics.h"

namespace almond {

/// Decisions of an agent: takes the messages of entries and the ends of calls
/// to the endpoint, and says what to send, start and control. Does no I/O.
class agent_controller {
 public:
  /// Time after the caller's deadline at which a task is stopped if the
  /// endpoint can, and the call to an endpoint that has gone is given up.
  static constexpr milliseconds kStopGrace{1000};
  /// Longest time to a deadline that is taken from a message; bounds what a
  /// wrong value does to clocks and timers.
  static constexpr milliseconds kMaxTimeLeft{86400000};
  /// Time for which an entry gets no grant after a start that did not fit.
  static constexpr milliseconds kHoldBack{50};
  /// Time for the last answers to leave the process at a shutdown.
  static constexpr milliseconds kFlushTime{300};
  /// Largest answer body; a frame (17 MiB) has room for it and its envelope.
  static constexpr std::size_t kMaxAnswerBytes = std::size_t{16} << 20U;
  /// Status told for an answer that is too large to be passed on.
  static constexpr std::uint16_t kStatusTooLarge = 502;

  /// Who the agent is, as announced.
  struct identity {
    agent_id agent;
    incarnation_id incarnation;
    data_centre_id data_centre;
  };

  struct hooks {
    /// Sends a message; dropped if the connection has ended.
    std::function<void(link_id, const agent_message&)> send;
    /// Starts a task on the endpoint; its end is told by OnStartResult.
    std::function<void(run_id, const socket_address&, const start_message&)>
        start;
    /// Sends a control request; its end is told by OnControlResult.
    std::function<void(run_id, const socket_address&, const task_name&,
                       task_control)>
        control;
    /// Asks for one call of Flush in the next loop iteration.
    std::function<void()> wake;
    /// @returns the configuration version in force, for announcements
    std::function<config_version()> version = [] { return config_version(); };
    /// @returns run time from which a task of that service may be paused, or
    ///   nothing to pause none
    std::function<std::optional<milliseconds>(const service_id&)>
        suspend_after = [](const service_id& /*service*/) {
          return std::optional<milliseconds>(suspension_policy::kSuspendAfter);
        };
  };

  /// How the call of a start ended.
  struct start_result {
    start_outcome outcome = start_outcome::lost;
    std::uint16_t status = 0;  ///< HTTP status, 0 if none
    std::string body;
  };

  /// @param policy choices of the suspension; its suspend_after is replaced by
  ///   the hook of that name
  agent_controller(const clock_interface& clock, metrics_registry& metrics,
                   identity self, hooks callbacks,
                   start_table::limits bounds = {},
                   suspension_policy policy = {});

  void OnEntryConnected(link_id link);
  void OnEntryClosed(link_id link);
  /// Takes any message of an entry but those about configuration.
  void OnMessage(link_id link, const entry_message& message);
  void OnStartResult(run_id run, start_result end);
  void OnControlResult(run_id run, task_control control,
                       task_control_result result);

  /// Takes an announcement of the endpoint.
  endpoint_controller::change OnAnnouncement(
      const endpoint_announcement& announced);
  /// The endpoint says that it leaves.
  /// @returns false if no endpoint is present
  bool OnEndpointLeaving();
  /// The agent itself leaves: no more grants.
  void Leave();

  /// Time passes: leases, deadlines, retention. To be called each 100 ms.
  void Tick();
  /// Decides and sends what is due, in at most one grant message for each
  /// entry. To be called after a wake.
  void Flush();
  /// Sends the announcement to all entries; to be called each second.
  void Announce();

  /// @returns true if nothing runs and no start can still arrive after Leave
  bool Drained() const;
  bool Leaving() const { return leaving_; }
  std::size_t Running() const { return runs_.size(); }
  const endpoint_controller& Endpoint() const { return endpoint_; }
  const slot_controller& Slots() const { return slots_; }
  const suspension_controller& Suspension() const { return suspension_; }
  const start_table& Starts() const { return starts_; }

 private:
  struct run_record {
    task_name name;
    link_id link;  ///< connection that the answer goes to
    socket_address address;
    bool can_stop = false;
    bool stopped = false;
    steady_time started;
    steady_time deadline;
  };

  void OnStart(link_id link, const start_message& start);
  /// @returns true if the name was seen before, and has been dealt with
  bool OnKnownStart(link_id link, const start_message& start);
  /// @returns the reason not to admit the start, or an empty text
  std::string RefusalOf(const start_message& start) const;
  void Refuse(link_id link, const start_message& start, start_outcome outcome,
              const std::string& reason);
  void OnQuery(link_id link, const query_message& query);
  void TakeOver(const task_name& name, link_id link, bool fence);
  void OnCancel(const cancel_message& cancel);
  void Stop(run_id run, run_record& record);
  void CheckDeadlines();
  void UpdateEndpoint();
  announce_message Announcement() const;
  void SendAnswers(slot_controller::actions& actions);
  void Wake();

  const clock_interface& clock_;
  metrics_registry& metrics_;
  identity self_;
  hooks hooks_;
  start_table starts_;
  slot_controller slots_;
  suspension_controller suspension_;
  endpoint_controller endpoint_;
  std::set<link_id> links_;
  std::map<run_id, run_record> runs_;
  std::unordered_map<task_name, run_id> runs_by_name_;
  run_id last_run_;
  std::vector<std::pair<link_id, answer_message>> answers_;
  bool awake_ = false;
  bool leaving_ = false;
  steady_time leave_time_;
  steady_time last_end_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_AGENT_CONTROLLER_H_
