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

/// Decision logic of an agent: handles the messages of entries and the results
/// of calls to the endpoint, and decides what to send, start and control. Does
/// no I/O.
class agent_controller {
 public:
  /// Time after the caller's deadline at which a task is stopped, if the
  /// endpoint supports it. If the endpoint is absent or was replaced, the call
  /// is given up instead.
  static constexpr milliseconds kStopGrace{1000};
  /// Longest time left that is accepted from a message, so that a wrong value
  /// cannot overflow clocks and timers.
  static constexpr milliseconds kMaxTimeLeft{86400000};
  /// Time for which an entry gets no grants after a start that was refused
  /// because the task does not fit the endpoint's resources, or because long
  /// tasks hold too many slots.
  static constexpr milliseconds kGrantBackoff{50};
  /// Time allowed at shutdown for sending the last answers.
  static constexpr milliseconds kFlushTime{300};
  /// Largest answer body; fits into a frame (17 MiB) with the other fields.
  static constexpr std::size_t kMaxAnswerBytes = std::size_t{16} << 20U;
  /// HTTP status reported for an answer that is too large to forward.
  static constexpr std::uint16_t kStatusTooLarge = 502;

  /// Identity of the agent, as announced to entries.
  struct identity {
    agent_id agent;
    incarnation_id incarnation;
    data_centre_id data_centre;
  };

  struct hooks {
    /// Sends a message; dropped if the connection is closed.
    std::function<void(link_id, const agent_message&)> send;
    /// Starts a task on the endpoint; the result is passed to OnStartResult.
    std::function<void(run_id, const socket_address&, const start_message&)>
        start;
    /// Sends a control request; the result is passed to OnControlResult.
    std::function<void(run_id, const socket_address&, const task_name&,
                       task_control)>
        control;
    /// Requests one call of Flush in the next iteration of the event loop.
    std::function<void()> wake;
    /// @returns the active configuration version, for announcements
    std::function<config_version()> version = [] { return config_version(); };
    /// @returns run time after which a task of the service may be paused, or
    ///   nothing if tasks are never paused
    std::function<std::optional<milliseconds>(const service_id&)>
        suspend_after = [](const service_id& /*service*/) {
          return std::optional<milliseconds>(suspension_policy::kSuspendAfter);
        };
  };

  /// Result of starting a task on the endpoint.
  struct start_result {
    start_outcome outcome = start_outcome::lost;
    std::uint16_t status = 0;  ///< HTTP status; 0 without a response
    std::string body;
  };

  /// @param policy suspension policy; its suspend_after is replaced by the hook
  ///   of that name
  agent_controller(const clock_interface& clock, metrics_registry& metrics,
                   identity self, hooks callbacks,
                   start_table::limits bounds = {},
                   suspension_policy policy = {});

  void OnEntryConnected(link_id link);
  void OnEntryClosed(link_id link);
  /// Handles all messages of an entry except those about configuration.
  void OnMessage(link_id link, const entry_message& message);
  void OnStartResult(run_id run, start_result end);
  void OnControlResult(run_id run, task_control control,
                       task_control_result result);

  /// Handles an announcement of the endpoint.
  endpoint_controller::change OnAnnouncement(
      const endpoint_announcement& announced);
  /// Handles a leave message of the endpoint.
  /// @returns false if no endpoint is present
  bool OnEndpointLeaving();
  /// Starts the shutdown of the agent: no more grants are issued.
  void Leave();
  /// While the data centre is evacuated, no grants are issued, those that were
  /// issued are void, and entries are told that the endpoint leaves; running
  /// tasks continue.
  void SetEvacuated(bool evacuated);

  /// Checks the timeout of the endpoint, deadlines and retention times, and
  /// requests a call of Flush, which ends expired leases; called every 100 ms.
  void Tick();
  /// Decides on grants and controls, and sends all pending messages, with at
  /// most one grant message per entry. Called after the wake hook.
  void Flush();
  /// Sends the announcement to all entries; called every second.
  void Announce();

  /// @returns true after Leave, once no task runs and no start can arrive
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
    link_id link;  ///< connection to which the answer is sent
    socket_address address;
    bool can_stop = false;
    bool stopped = false;
    steady_time started;
    steady_time deadline;
  };

  void OnStart(link_id link, const start_message& start);
  /// Answers a start whose name is known or fenced.
  /// @returns false if the name is new
  bool HandleKnownStart(link_id link, const start_message& start);
  /// @returns the reason to refuse the start; empty if it is admitted
  std::string RefusalReason(const start_message& start) const;
  void Refuse(link_id link, const start_message& start, start_outcome outcome,
              const std::string& reason);
  void OnQuery(link_id link, const query_message& query);
  void RedirectAnswer(const task_name& name, link_id link, bool fence);
  void OnCancel(const cancel_message& cancel);
  void Stop(run_id run, run_record& record);
  void CheckDeadlines();
  void ApplyEndpointState();
  announce_message Announcement() const;
  void SendAnswers(slot_controller::actions& actions);
  void ScheduleFlush();

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
  bool flush_scheduled_ = false;
  bool leaving_ = false;
  bool evacuated_ = false;
  steady_time leave_time_;
  steady_time last_end_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_AGENT_CONTROLLER_H_
