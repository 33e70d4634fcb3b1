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
#include "libalmond/core/evacuations.h"
#include "libalmond/core/metrics.h"

namespace almond {

/// Result of a task with its timings.
struct task_end {
  task work;
  task_result result;
  duration wait{0};      ///< from queueing to the last start
  duration run_time{0};  ///< time on the endpoint's slot, suspensions excluded
  duration total{0};     ///< from queueing to the end
  agent_id agent;        ///< agent of the last attempt; empty if there was none
};

/// Owns the tasks that an entry has queued or in flight. Matches queued tasks
/// with grants, and queries agents about tasks whose answers are missing.
class dispatch_controller {
 public:
  /// Time after a deadline or cancellation within which the agent can still
  /// report the outcome.
  static constexpr milliseconds kCancelGracePeriod{200};
  /// Limit of attempts of one task that turned out not to have run. An endpoint
  /// that refuses everything would otherwise keep the task retrying until its
  /// deadline.
  static constexpr std::uint32_t kMaxNotRunAttempts = 5;
  /// Time after a refusal for lack of slots during which agents are told of the
  /// overload, and queued tasks that would probably miss their deadlines end.
  static constexpr milliseconds kOverloadPeriod{1000};
  /// Time after which the record of a disconnected agent without tasks in
  /// flight is removed.
  static constexpr milliseconds kAgentRetentionPeriod{60000};
  /// Time without queued tasks after which agents are told that the backlog is
  /// empty.
  static constexpr milliseconds kDemandClearDelay{200};
  /// Period over which acknowledgements are batched into one message per agent.
  static constexpr milliseconds kAcknowledgePeriod{1000};
  /// Time for which an agent that could not fit a task with declared sizes gets
  /// no other task of at least that size, unless one of its tasks ends before.
  static constexpr milliseconds kUnfitRetryDelay{100};
  /// Limit of tasks skipped in one dispatch because no granted endpoint is
  /// large enough.
  static constexpr std::size_t kMaxPassedOver = 8;

  struct hooks {
    std::function<void(link_id, const entry_message&)> send;
    /// Called once for each submitted task.
    std::function<void(const task_end&)> on_end;
    std::function<std::uint32_t(const team_id&)> team_weight;
    /// Limit of tasks in flight per team; unlimited if empty.
    std::function<std::uint32_t(const team_id&)> team_running_limit;
    /// Closes a connection that the same agent has replaced by a newer one.
    std::function<void(link_id)> close;
    /// Data centre of this entry; its endpoints are preferred.
    data_centre_id data_centre;
  };
  /// Called once with the answer, or with nothing if the connection ended
  /// before it.
  using query_hook =
      std::function<void(const std::optional<query_answer_message>&)>;

  dispatch_controller(const clock_interface& clock, metrics_registry& metrics,
                      hooks callbacks);

  /// Queues a task. Its end is reported through `on_end`.
  /// @param avoid agent that gets the task only if no other one can; may be
  ///   empty
  void Submit(task work, const agent_id& avoid = agent_id());
  /// Queues all tasks of a submission.
  void SubmitAll(std::vector<task> tasks, const agent_id& avoid = agent_id());
  /// Cancels tasks. Queued ones end at once as cancelled and not run. For tasks
  /// in flight the agent is asked to stop them, and has kCancelGracePeriod to
  /// report how they ended.
  void Cancel(const service_id& service, const std::vector<task_name>& names);
  /// Reports to the service's agents that work was refused for lack of slots.
  void OnOverload(const service_id& service);

  void OnMessage(link_id agent, const agent_message& message);
  void OnAgentClosed(link_id agent);
  /// Starts no tasks in evacuated data centres, whatever their agents grant.
  void SetEvacuations(const evacuation_list& list);
  /// Does the periodic work: ends tasks at their deadlines or timeouts,
  /// dispatches queued tasks, sends demand and batched acknowledgements, and
  /// removes stale agents. Called several times per second.
  void Tick();

  /// Queries an agent about a whole submission.
  /// @param agent connection of the agent
  /// @param query its query number is set here
  /// @param on_answer may be called from OnMessage and OnAgentClosed
  void Query(link_id agent, query_message query, query_hook on_answer);
  /// @returns the connected agents of a service, including leaving ones
  std::vector<connected_agent> ConnectedAgents(const service_id& service) const;

  std::size_t Queued() const;
  std::size_t Queued(const service_id& service) const;
  std::size_t TeamQueued(const team_id& team) const;
  std::size_t InFlight() const { return in_flight_.size(); }
  std::size_t TeamInFlight(const team_id& team) const {
    return in_flight_.TeamCount(team);
  }
  /// @returns number of connected agents with slots for the service
  std::size_t AgentCount(const service_id& service) const;
  /// @returns number of ejected agents of the service
  std::size_t Ejected(const service_id& service) const;
  /// @returns true if a connected endpoint is large enough
  bool Fits(const service_id& service, const task_size& size) const;
  /// @returns the inputs of the admission decision
  service_load ServiceLoad(const service_id& service, const team_id& team);
  /// @returns number of unanswered queries and unsent acknowledgements
  std::size_t PendingMessages() const;

 private:
  struct service_state {
    service_state(const clock_interface& clock, grant_pool::rank_hook rank,
                  task_queue::weight_hook weight)
        : queue(std::move(weight)), grants(clock, std::move(rank)) {}
    task_queue queue;
    grant_pool grants;
    service_rate rate;
    std::set<agent_id> agents;
    double mean_success = 1;  ///< over the agents that are not ejected
    /// Last refusal for lack of slots.
    std::optional<steady_time> refused_at;
    steady_time last_backlog;  ///< last tick with queued tasks
    /// Incremented on each tick with queued tasks, so that a backlog smaller
    /// than the number of agents is reported to different agents in turn.
    std::size_t demand_offset = 0;
  };
  struct pending_query {
    link_id link;
    query_hook on_answer;
    std::uint32_t task_count = 0;
    /// Task indexes reported so far; an answer may come in several messages.
    std::set<std::uint32_t> reported;
    query_answer_message answer;
  };

  // dispatch_controller.cc: queueing and starting
  service_state& Service(const service_id& service);
  void Dispatch(const service_id& service);
  bool TryStart(service_state& state, queued_task& item);
  void Start(queued_task item, const held_grant& grant, std::size_t backlog);
  std::optional<double> RankAgent(link_id link, std::size_t held) const;
  bool MayStart(const team_id& team) const;
  void EndQueued(queued_task item, refusal_reason reason);
  agent_record* FindAgent(link_id link);

  // dispatch_messages.cc: messages from agents
  void OnAnnounce(link_id link, const announce_message& message);
  void OnGrant(link_id link, const grant_message& message);
  void OnRecall(link_id link, const recall_message& message);
  void OnAnswer(link_id link, const answer_message& message);
  void ApplyAnswer(const answer_message& answer);
  void EndFailed(const answer_message& answer);
  void Requeue(const task_name& name, retry_reason reason);
  void RequeueUnfit(queued_task item);
  void RequeuePassedOver(service_state& state,
                         std::vector<queued_task> passed_over);
  /// @param run_time empty if the agent has not reported the end of the task
  void EndInFlight(const task_name& name, task_result result,
                   std::optional<duration> run_time);
  void RecordHealth(const agent_id& agent, bool success);
  void UpdateMeanSuccess(const service_id& service);
  bool MayEject(const agent_record& agent) const;
  void ReturnGrants(link_id link, std::uint32_t count);

  // dispatch_queries.cc: lost connections and queries
  void DisconnectAgent(agent_record& agent);
  void QueryInDoubt(const agent_record& agent);
  void OnQueryAnswer(link_id link, const query_answer_message& message);
  /// @returns true if the message answers a query about a whole submission
  bool OnSubmissionAnswer(link_id link, const query_answer_message& message);
  void ResolveInDoubt(const task_report& report, bool same_incarnation);

  // dispatch_tick.cc: deadlines, demand, acknowledgements
  void EndExpiredQueued(service_state& state);
  void HandleDueInFlight();
  void Abandon(const task_name& name);
  void SendCancels(const std::vector<task_name>& names);
  void SendDemand(const service_id& service);
  void ClearDemand(const service_id& service);
  void FlushAcknowledgements();
  void RemoveStaleAgents();

  const clock_interface& clock_;
  dispatch_metrics metrics_;
  hooks hooks_;
  std::map<service_id, std::unique_ptr<service_state>> services_;
  std::map<agent_id, agent_record> agents_;
  std::map<link_id, agent_id> links_;
  evacuation_list evacuations_;
  in_flight_table in_flight_;
  std::map<std::uint64_t, pending_query> queries_;
  std::uint64_t last_query_ = 0;
  steady_time last_acknowledgements_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_DISPATCH_CONTROLLER_H_
