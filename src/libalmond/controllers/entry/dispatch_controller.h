#ifndef ALMOND_CONTROLLERS_ENTRY_DISPATCH_CONTROLLER_H_
#define ALMOND_CONTROLLERS_ENTRY_DISPATCH_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "libalmond/controllers/entry/grant_pool.h"
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
};

/// Owner of the tasks that an entry has queued or in flight: matches queued
/// tasks with grants and finds out the truth about answers that are missing.
class dispatch_controller {
 public:
  /// Time for which an agent may be without a connection before its tasks are
  /// given up as unknown.
  static constexpr milliseconds kReconnectLimit{5000};
  /// Time after the deadline in which the agent can still tell the outcome.
  static constexpr milliseconds kCancelGrace{200};

  struct hooks {
    std::function<void(link_id, const entry_message&)> send;
    /// Called once for each submitted task.
    std::function<void(const task_end&)> on_end;
    std::function<std::uint32_t(const team_id&)> team_weight;
  };

  dispatch_controller(const clock_interface& clock, metrics_registry& metrics,
                      hooks callbacks);

  /// Takes over a task; its end comes through the hook.
  void Submit(task work);
  /// Queued tasks end as cancelled and not run; for tasks in flight the agent
  /// is asked to stop them, and their answer is their end.
  void Cancel(const std::vector<task_name>& names);

  void OnMessage(link_id agent, const agent_message& message);
  void OnAgentClosed(link_id agent);
  /// Ends deadlines and waits; to be called some times a second.
  void Tick();

  std::size_t Queued() const;
  std::size_t Queued(const service_id& service) const;
  std::size_t InFlight() const { return in_flight_.size(); }
  /// @returns number of connected agents with slots for the service
  std::size_t Agents(const service_id& service) const;

 private:
  struct agent_state {
    announce_message announced;
    std::uint32_t told_backlog = 0;
    bool known = false;
  };
  struct service_state {
    service_state(const clock_interface& clock, grant_pool::rank_hook rank,
                  task_queue::weight_hook weight)
        : queue(std::move(weight)), grants(clock, std::move(rank)) {}
    task_queue queue;
    grant_pool grants;
  };
  struct flight {
    queued_task item;
    link_id link;
    agent_id agent;
    incarnation_id incarnation;
    steady_time started;
    bool cancelled = false;
    /// Set while the connection that the start went to is lost.
    std::optional<steady_time> in_doubt_since;
  };

  service_state& Service(const service_id& service);
  void Dispatch(const service_id& service);
  void Start(const queued_task& item, const held_grant& grant,
             std::size_t backlog);
  void TellDemand(const service_id& service);

  void OnAnnounce(link_id link, const announce_message& message);
  void OnGrant(link_id link, const grant_message& message);
  void OnRecall(link_id link, const recall_message& message);
  void OnAnswer(link_id link, const answer_message& message);
  void OnQueryAnswer(link_id link, const query_answer_message& message);
  void QueryInDoubt(link_id link, const announce_message& agent);
  void Resolve(const task_report& report);
  void Conclude(const answer_message& answer);
  void Requeue(flight&& ended, retry_reason reason);
  void EndFlight(const task_name& name, task_result result,
                 duration run_time = duration(0));
  void EndQueued(queued_task item, refusal_reason reason);
  void EndOverdueFlights();

  const clock_interface& clock_;
  metrics_registry& metrics_;
  hooks hooks_;
  std::map<service_id, std::unique_ptr<service_state>> services_;
  std::map<link_id, agent_state> agents_;
  std::unordered_map<task_name, flight> in_flight_;
  std::uint64_t last_query_ = 0;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_DISPATCH_CONTROLLER_H_
