#include <utility>

#include "libalmond/controllers/entry/dispatch_controller.h"

namespace almond {

void dispatch_controller::Tick() {
  HandleDueFlights();
  std::vector<service_id> services;
  for (const auto& [service, state] : services_) services.push_back(service);
  for (const service_id& service : services) {
    EndExpiredQueued(Service(service));
    Dispatch(service);
    WithdrawDemand(service);
  }
  FlushForgets();
  DropOldAgents();
}

void dispatch_controller::EndExpiredQueued(service_state& state) {
  const steady_time now = clock_.SteadyNow();
  for (queued_task& item : state.queue.TakeExpired(now)) {
    EndQueued(std::move(item), refusal_reason::deadline_in_queue);
  }
  // Under overload, a task with less time left than most tasks take would
  // occupy a slot and still fail its caller.
  if (!state.refused || *state.refused + kOverloadMemory <= now) return;
  const duration margin = state.rate.RunTimeP90();
  for (queued_task& item : state.queue.TakeExpired(now + margin)) {
    EndQueued(std::move(item), refusal_reason::overloaded);
  }
}

void dispatch_controller::HandleDueFlights() {
  const steady_time now = clock_.SteadyNow();
  std::vector<task_name> stopped;
  for (const task_name& name : flights_.Due(now)) {
    in_flight_task* record = flights_.Find(name);
    if (record == nullptr) continue;
    const bool lost =
        record->in_doubt_since &&
        *record->in_doubt_since + in_flight_table::kDoubtLimit <= now;
    if (lost || (record->give_up && *record->give_up <= now)) {
      GiveUp(name);
      continue;
    }
    record->overdue = true;
    if (!record->give_up) {
      record->give_up = now + kCancelGrace;
      stopped.push_back(name);
    }
    flights_.Arm(*record);
  }
  SendCancels(stopped);
}

void dispatch_controller::GiveUp(const task_name& name) {
  const in_flight_task& record = *flights_.Find(name);
  refusal failure{refusal_reason::agent_lost, run_outcome::unknown, ""};
  if (record.overdue) {
    failure.reason = refusal_reason::deadline_running;
  } else if (record.cancelled) {
    failure.reason = refusal_reason::cancelled;
  }
  EndFlight(name, std::move(failure), std::nullopt);
}

void dispatch_controller::SendCancels(const std::vector<task_name>& names) {
  std::map<link_id, std::vector<task_name>> by_link;
  for (const task_name& name : names) {
    const in_flight_task* record = flights_.Find(name);
    if (record != nullptr && !record->in_doubt_since) {
      by_link[record->link].push_back(name);
    }
  }
  for (auto& [link, stopped] : by_link) {
    metrics_.cancel.Add();
    hooks_.send(link, cancel_message{std::move(stopped)});
  }
}

void dispatch_controller::TellDemand(const service_id& service) {
  const service_state& state = Service(service);
  const std::size_t queued = state.queue.size();
  std::size_t place = state.demand_turn;
  const bool overloaded =
      state.refused && *state.refused + kOverloadMemory > clock_.SteadyNow();
  for (const agent_id& id : state.agents) {
    agent_record& agent = agents_.at(id);
    if (!agent.Usable()) continue;
    // Each agent is told its part of the backlog: with the whole of it, every
    // agent would suspend a long task for the same queued task. An ejected
    // endpoint gets probes only; its slots are free for others.
    const std::size_t agents = state.agents.size();
    const std::size_t part =
        queued / agents + (place++ % agents < queued % agents ? 1 : 0);
    const auto backlog =
        agent.health.Ejected() ? 0U : static_cast<std::uint32_t>(part);
    // Starts carry the backlog; a message of its own is sent only when the
    // backlog appears or doubles. That it has gone is told by WithdrawDemand.
    const bool changed = backlog >= 2 * agent.told_backlog + 1;
    if (!changed && overloaded == agent.told_overloaded) continue;
    agent.told_backlog = backlog;
    agent.told_overloaded = overloaded;
    metrics_.demand.Add();
    hooks_.send(*agent.link, demand_message{backlog, overloaded});
  }
}

void dispatch_controller::WithdrawDemand(const service_id& service) {
  // Near full load the queue empties and fills many times a second; a message
  // to every agent for each change would outnumber the tasks.
  service_state& state = Service(service);
  const steady_time now = clock_.SteadyNow();
  if (!state.queue.empty()) {
    state.last_queued = now;
    // A few queued tasks are told to other agents in turn, until one has room.
    ++state.demand_turn;
  }
  if (state.last_queued + kDemandMemory > now) return;
  for (const agent_id& id : state.agents) {
    agent_record& agent = agents_.at(id);
    if (!agent.Usable() || agent.told_backlog == 0) continue;
    agent.told_backlog = 0;
    metrics_.demand.Add();
    hooks_.send(*agent.link, demand_message{0, agent.told_overloaded});
  }
}

void dispatch_controller::FlushForgets() {
  const steady_time now = clock_.SteadyNow();
  if (last_forgets_ + kForgetPeriod > now) return;
  last_forgets_ = now;
  for (auto& [id, agent] : agents_) {
    if (agent.forgets.empty() || !agent.link) continue;
    metrics_.forget.Add();
    hooks_.send(*agent.link,
                acknowledge_message{std::exchange(agent.forgets, {})});
  }
}

void dispatch_controller::DropOldAgents() {
  const steady_time now = clock_.SteadyNow();
  for (auto position = agents_.begin(); position != agents_.end();) {
    const agent_record& agent = position->second;
    if (agent.link || agent.closed + kAgentMemory > now ||
        flights_.CountAt(position->first) > 0) {
      ++position;
      continue;
    }
    const auto service = services_.find(agent.announced.service);
    if (service != services_.end()) {
      service->second->agents.erase(position->first);
    }
    position = agents_.erase(position);
  }
}

}  // namespace almond
