#ifndef ALMOND_CONTROLLERS_ENTRY_DISPATCH_CONTROLLER_H_
#define ALMOND_CONTROLLERS_ENTRY_DISPATCH_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "libalmond/controllers/entry/agent_record.h"
#include "libalmond/controllers/entry/dispatch_metrics.h"
#include "libalmond/controllers/entry/grant_pool.h"
#include "libalmond/controllers/entry/in_flight_table.h"
#include "libalmond/controllers/entry/service_load.h"
#include "libalmond/controllers/entry/service_rate.h"
#include "libalmond/controllers/entry/task_queue.h"
#include "libalmond/core/dispatch_messages.h"
#include "libalmond/core/metrics.h"

namespace almond {

/// How a task ended, with its times.
struct task_end {
  task work;
  task_result result;
  duration wait{0};      ///< from queueing to the start
  duration run_time{0};  ///< on the endpoint's slot, suspensions excluded
  duration total{0};     ///< from queueing to the end
  agent_id agent;        ///< agent of the last attempt; empty if none
};

/// Owner of the tasks that an entry has queued or in flight: matches queued
/// tasks with grants and finds out the truth about answers that are missing.
class dispatch_controller {
 public:
  /// Time after a deadline or cancellation in which the agent can still tell
  /// the outcome.
  static constexpr milliseconds kCancelGrace{200};
  /// Attempts of one task that may prove not to have run. An endpoint that
  /// refuses everything would otherwise keep the task going round for ever.
  static constexpr std::uint32_t kMaxNotRunAttempts = 5;
  /// Time for which a refusal for lack of slots is reported to the agents.
  static constexpr milliseconds kOverloadMemory{1000};
  /// Time for which an agent without connection and tasks is remembered.
  static constexpr milliseconds kAgentMemory{60000};
  /// Time without queued tasks after which agents are told that there are none.
  static constexpr milliseconds kDemandMemory{200};
  /// Time over which answered names are collected into one message per agent.
  static constexpr milliseconds kForgetPeriod{1000};
  /// Time for which an agent that could not start a task with declared sizes
  /// gets no other of at least its size, unless a task ends there before.
  static constexpr milliseconds kFitDelay{100};
  /// Tasks that are passed over when no granted endpoint is large enough.
  static constexpr std::size_t kMaxPassedOver = 8;

  struct hooks {
    std::function<void(link_id, const entry_message&)> send;
    /// Called once for each submitted task.
    std::function<void(const task_end&)> on_end;
    std::function<std::uint32_t(const team_id&)> team_weight;
    /// Most tasks that a team may have in flight; no limit if empty.
    std::function<std::uint32_t(const team_id&)> team_running_limit;
    /// Ends a connection that another one of the same agent has replaced.
    std::function<void(link_id)> close;
    /// Endpoints there are preferred.
    data_centre_id data_centre;
  };
  /// Called once with the answer, or with nothing if the connection has ended.
  using query_hook =
      std::function<void(const std::optional<query_answer_message>&)>;

  dispatch_controller(const clock_interface& clock, metrics_registry& metrics,
                      hooks callbacks);

  /// Takes over a task; its end comes through the hook.
  /// @param work the task
  /// @param avoid agent to prefer others to; may be empty
  void Submit(task work, const agent_id& avoid = agent_id());
  /// Takes over all tasks of a submission.
  void SubmitAll(std::vector<task> tasks, const agent_id& avoid = agent_id());
  /// Queued tasks end as cancelled and not run; for tasks in flight the agent
  /// is asked to stop them, and has a short time to tell how they ended.
  void Cancel(const service_id& service, const std::vector<task_name>& names);
  /// Tells the agents of the service that work was refused for lack of slots.
  void OnOverload(const service_id& service);

  void OnMessage(link_id agent, const agent_message& message);
  void OnAgentClosed(link_id agent);
  /// Ends deadlines and waits; to be called some times a second.
  void Tick();

  /// Sends a query about a whole submission.
  /// @param agent a connected agent
  /// @param query the query number is set here
  /// @param on_answer may be called from OnMessage and OnAgentClosed
  void Query(link_id agent, query_message query, query_hook on_answer);
  /// @returns the connected agents of a service, leaving ones included
  std::vector<connected_agent> Connected(const service_id& service) const;

  std::size_t Queued() const;
  std::size_t Queued(const service_id& service) const;
  std::size_t TeamQueued(const team_id& team) const;
  std::size_t InFlight() const { return flights_.size(); }
  std::size_t TeamInFlight(const team_id& team) const {
    return flights_.TeamCount(team);
  }
  /// @returns number of connected agents with slots for the service
  std::size_t Agents(const service_id& service) const;
  /// @returns number of ejected agents of the service
  std::size_t Ejected(const service_id& service) const;
  /// @returns true if some connected endpoint is large enough
  bool Fits(const service_id& service, const task_size& size) const;
  /// @returns what admission needs to know
  service_load Load(const service_id& service, const team_id& team);
  /// @returns number of queries and forgets that are still open
  std::size_t OpenWork() const;

 private:
  struct service_state {
    service_state(const clock_interface& clock, grant_pool::rank_hook rank,
                  task_queue::weight_hook weight)
        : queue(std::move(weight)), grants(clock, std::move(rank)) {}
    task_queue queue;
    grant_pool grants;
    service_rate rate;
    std::set<agent_id> agents;
    double usual_success = 1;  ///< mean of the agents that are not ejected
    std::optional<steady_time> refused;  ///< last refusal for lack of slots
    steady_time last_queued;             ///< last tick that found queued tasks
    /// Place in the list of agents from which a small backlog is told.
    std::size_t demand_turn = 0;
  };
  struct pending_query {
    link_id link;
    query_hook on_answer;
    std::uint32_t task_count = 0;
    /// Indexes reported so far; an answer may come in several messages.
    std::set<std::uint32_t> reported;
    query_answer_message answer;
  };

  // dispatch_controller.cc: queueing and starting
  service_state& Service(const service_id& service);
  void Dispatch(const service_id& service);
  bool TryStart(service_state& state, queued_task& item);
  void Start(queued_task item, const held_grant& grant, std::size_t backlog);
  std::optional<double> Rank(link_id link, std::size_t held) const;
  bool MayRun(const team_id& team) const;
  void EndQueued(queued_task item, refusal_reason reason);
  agent_record* ByLink(link_id link);

  // dispatch_messages.cc: messages of agents
  void OnAnnounce(link_id link, const announce_message& message);
  void OnGrant(link_id link, const grant_message& message);
  void OnRecall(link_id link, const recall_message& message);
  void OnAnswer(link_id link, const answer_message& message);
  void Conclude(const answer_message& answer);
  void EndFailed(const answer_message& answer);
  void Requeue(const task_name& name, retry_reason reason);
  void RequeueUnfit(queued_task item);
  void PutBack(service_state& state, std::vector<queued_task> passed_over);
  /// @param run_time empty if the agent has not told how the task ended
  void EndFlight(const task_name& name, task_result result,
                 std::optional<duration> run_time);
  void RecordHealth(const agent_id& agent, bool success);
  void UpdateUsualSuccess(const service_id& service);
  bool MayEject(const agent_record& agent) const;
  void ReturnGrants(link_id link, std::uint32_t count);

  // dispatch_queries.cc: lost connections and queries
  void Detach(agent_record& agent);
  void QueryInDoubt(const agent_record& agent);
  void OnQueryAnswer(link_id link, const query_answer_message& message);
  /// @returns true if the message belongs to a query of a whole submission
  bool OnSubmissionAnswer(link_id link, const query_answer_message& message);
  void Resolve(const task_report& report, bool same_incarnation);

  // dispatch_tick.cc: deadlines, demand, forgets
  void EndExpiredQueued(service_state& state);
  void HandleDueFlights();
  void GiveUp(const task_name& name);
  void SendCancels(const std::vector<task_name>& names);
  void TellDemand(const service_id& service);
  void WithdrawDemand(const service_id& service);
  void FlushForgets();
  void DropOldAgents();

  const clock_interface& clock_;
  dispatch_metrics metrics_;
  hooks hooks_;
  std::map<service_id, std::unique_ptr<service_state>> services_;
  std::map<agent_id, agent_record> agents_;
  std::map<link_id, agent_id> links_;
  in_flight_table flights_;
  std::map<std::uint64_t, pending_query> queries_;
  std::uint64_t last_query_ = 0;
  steady_time last_forgets_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_DISPATCH_CONTROLLER_H_
