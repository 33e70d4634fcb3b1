#include <utility>

#include "libalmond/controllers/entry/dispatch_controller.h"

namespace almond {

void dispatch_controller::Tick() {
  HandleDueInFlight();
  std::vector<service_id> services;
  for (const auto& [service, state] : services_) services.push_back(service);
  for (const service_id& service : services) {
    EndExpiredQueued(Service(service));
    Dispatch(service);
    ClearDemand(service);
  }
  FlushAcknowledgements();
  RemoveStaleAgents();
}

void dispatch_controller::EndExpiredQueued(service_state& state) {
  const steady_time now = clock_.SteadyNow();
  for (queued_task& item : state.queue.TakeExpired(now)) {
    EndQueued(std::move(item), refusal_reason::deadline_in_queue);
  }
  // Under overload, a task with less time left than the 90th percentile of the
  // run times would occupy a slot and may still miss its deadline.
  if (!state.refused_at || *state.refused_at + kOverloadPeriod <= now) return;
  const duration margin = state.rate.RunTimeP90();
  for (queued_task& item : state.queue.TakeExpired(now + margin)) {
    EndQueued(std::move(item), refusal_reason::overloaded);
  }
}

void dispatch_controller::HandleDueInFlight() {
  const steady_time now = clock_.SteadyNow();
  std::vector<task_name> stopped;
  for (const task_name& name : in_flight_.Due(now)) {
    in_flight_task* record = in_flight_.Find(name);
    if (record == nullptr) continue;
    const bool lost =
        record->in_doubt_since &&
        *record->in_doubt_since + in_flight_table::kInDoubtTimeout <= now;
    if (lost || (record->abandon_at && *record->abandon_at <= now)) {
      Abandon(name);
      continue;
    }
    record->past_deadline = true;
    if (!record->abandon_at) {
      record->abandon_at = now + kCancelGracePeriod;
      stopped.push_back(name);
    }
    in_flight_.Reschedule(*record);
  }
  SendCancels(stopped);
}

void dispatch_controller::Abandon(const task_name& name) {
  const in_flight_task& record = *in_flight_.Find(name);
  refusal failure{refusal_reason::agent_lost, run_outcome::unknown, ""};
  if (record.past_deadline) {
    failure.reason = refusal_reason::deadline_running;
  } else if (record.cancelled) {
    failure.reason = refusal_reason::cancelled;
  }
  EndInFlight(name, std::move(failure), std::nullopt);
}

void dispatch_controller::SendCancels(const std::vector<task_name>& names) {
  std::map<link_id, std::vector<task_name>> by_link;
  for (const task_name& name : names) {
    const in_flight_task* record = in_flight_.Find(name);
    if (record != nullptr && !record->in_doubt_since) {
      by_link[record->link].push_back(name);
    }
  }
  for (auto& [link, stopped] : by_link) {
    metrics_.cancel.Add();
    hooks_.send(link, cancel_message{std::move(stopped)});
  }
}

void dispatch_controller::SendDemand(const service_id& service) {
  const service_state& state = Service(service);
  const std::size_t queued = state.queue.size();
  std::size_t position = state.demand_offset;
  const bool overloaded =
      state.refused_at &&
      *state.refused_at + kOverloadPeriod > clock_.SteadyNow();
  for (const agent_id& id : state.agents) {
    agent_record& agent = agents_.at(id);
    if (!agent.TakesStarts()) continue;
    // Each agent is told its share of the backlog. If each were told the whole,
    // every agent would suspend a long task for the same queued task. An
    // ejected endpoint is only probed, so its slots are free for other entries.
    const std::size_t agents = state.agents.size();
    const std::size_t share =
        queued / agents + (position++ % agents < queued % agents ? 1 : 0);
    const auto backlog =
        agent.health.Ejected() ? 0U : static_cast<std::uint32_t>(share);
    // Start messages carry the backlog, so a demand message is sent only when
    // the backlog appears or doubles. ClearDemand reports its end.
    const bool changed = backlog >= 2 * agent.sent_backlog + 1;
    if (!changed && overloaded == agent.sent_overloaded) continue;
    agent.sent_backlog = backlog;
    agent.sent_overloaded = overloaded;
    metrics_.demand.Add();
    hooks_.send(*agent.link, demand_message{backlog, overloaded});
  }
}

void dispatch_controller::ClearDemand(const service_id& service) {
  // Near full load the queue empties and fills many times per second; reporting
  // each change to every agent would take more messages than there are tasks.
  service_state& state = Service(service);
  const steady_time now = clock_.SteadyNow();
  if (!state.queue.empty()) {
    state.last_backlog = now;
    // Reports a small backlog to different agents in turn, until one of them
    // has a free slot.
    ++state.demand_offset;
  }
  if (state.last_backlog + kDemandClearDelay > now) return;
  for (const agent_id& id : state.agents) {
    agent_record& agent = agents_.at(id);
    if (!agent.Usable() || agent.sent_backlog == 0) continue;
    agent.sent_backlog = 0;
    metrics_.demand.Add();
    hooks_.send(*agent.link, demand_message{0, agent.sent_overloaded});
  }
}

void dispatch_controller::FlushAcknowledgements() {
  const steady_time now = clock_.SteadyNow();
  if (last_acknowledgements_ + kAcknowledgePeriod > now) return;
  last_acknowledgements_ = now;
  for (auto& [id, agent] : agents_) {
    if (agent.unacknowledged.empty() || !agent.link) continue;
    metrics_.acknowledge.Add();
    hooks_.send(*agent.link,
                acknowledge_message{std::exchange(agent.unacknowledged, {})});
  }
}

void dispatch_controller::RemoveStaleAgents() {
  const steady_time now = clock_.SteadyNow();
  for (auto position = agents_.begin(); position != agents_.end();) {
    const agent_record& agent = position->second;
    if (agent.link || agent.disconnected_at + kAgentRetentionPeriod > now ||
        in_flight_.CountAt(position->first) > 0) {
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
