#include "libalmond/controllers/entry/dispatch_controller.h"

#include <algorithm>
#include <utility>

namespace almond {

dispatch_controller::dispatch_controller(const clock_interface& clock,
                                         metrics_registry& metrics,
                                         hooks callbacks)
    : clock_(clock), metrics_(metrics), hooks_(std::move(callbacks)) {}

dispatch_controller::service_state& dispatch_controller::Service(
    const service_id& service) {
  auto& state = services_[service];
  if (!state) {
    // Starts go to the agent with the most free slots.
    const auto rank = [](link_id /*agent*/, std::size_t held) {
      return std::optional<double>(static_cast<double>(held));
    };
    state = std::make_unique<service_state>(clock_, rank, hooks_.team_weight);
  }
  return *state;
}

void dispatch_controller::Submit(task work) {
  const service_id service = work.service;
  Service(service).queue.Push({std::move(work), clock_.SteadyNow(), 0});
  Dispatch(service);
}

void dispatch_controller::Dispatch(const service_id& service) {
  service_state& state = Service(service);
  while (!state.queue.empty()) {
    const auto grant = state.grants.Take();
    if (!grant) break;
    const auto item = state.queue.Pop();
    Start(*item, *grant, state.queue.size());
  }
  TellDemand(service);
}

void dispatch_controller::Start(const queued_task& item,
                                const held_grant& grant, std::size_t backlog) {
  agent_state& agent = agents_.at(grant.agent);
  const steady_time now = clock_.SteadyNow();
  start_message start;
  start.grant = grant.grant;
  start.name = item.work.name;
  start.epoch = item.work.epoch;
  start.kind = item.work.kind;
  start.body = item.work.body;
  start.time_left =
      std::chrono::duration_cast<milliseconds>(item.work.deadline - now);
  start.size = item.work.size;
  start.named_submission = item.work.named_submission;
  start.backlog = static_cast<std::uint32_t>(backlog);
  agent.told_backlog = start.backlog;
  flight& record = in_flight_[item.work.name];
  record.item = item;
  record.link = grant.agent;
  record.agent = agent.announced.agent;
  record.incarnation = agent.announced.incarnation;
  record.started = now;
  metrics_.Counter("almond_dispatch_messages_total", "type=\"start\"").Add();
  hooks_.send(grant.agent, start);
}

void dispatch_controller::TellDemand(const service_id& service) {
  const auto backlog =
      static_cast<std::uint32_t>(Service(service).queue.size());
  for (auto& [link, agent] : agents_) {
    if (!agent.known || agent.announced.service != service) continue;
    // Starts carry the backlog; a message of its own is sent only when the
    // backlog appears, vanishes or doubles.
    const bool appeared = (backlog == 0) != (agent.told_backlog == 0);
    if (!appeared && backlog < 2 * agent.told_backlog + 1) continue;
    if (backlog == agent.told_backlog) continue;
    agent.told_backlog = backlog;
    metrics_.Counter("almond_dispatch_messages_total", "type=\"demand\"").Add();
    hooks_.send(link, demand_message{backlog, false});
  }
}

void dispatch_controller::Cancel(const std::vector<task_name>& names) {
  std::map<link_id, std::vector<task_name>> stops;
  for (const task_name& name : names) {
    const auto running = in_flight_.find(name);
    if (running != in_flight_.end()) {
      running->second.cancelled = true;
      stops[running->second.link].push_back(name);
      continue;
    }
    for (auto& [service, state] : services_) {
      auto item = state->queue.Remove(name);
      if (!item) continue;
      EndQueued(std::move(*item), refusal_reason::cancelled);
      break;
    }
  }
  for (auto& [link, stopped] : stops) {
    hooks_.send(link, cancel_message{std::move(stopped)});
  }
}

void dispatch_controller::OnMessage(link_id agent,
                                    const agent_message& message) {
  if (const auto* announce = std::get_if<announce_message>(&message)) {
    OnAnnounce(agent, *announce);
  } else if (const auto* grant = std::get_if<grant_message>(&message)) {
    OnGrant(agent, *grant);
  } else if (const auto* recall = std::get_if<recall_message>(&message)) {
    OnRecall(agent, *recall);
  } else if (const auto* answer = std::get_if<answer_message>(&message)) {
    OnAnswer(agent, *answer);
  } else if (const auto* reports =
                 std::get_if<query_answer_message>(&message)) {
    OnQueryAnswer(agent, *reports);
  }
}

void dispatch_controller::OnAnnounce(link_id link,
                                     const announce_message& message) {
  agent_state& agent = agents_[link];
  const bool first = !agent.known;
  agent.announced = message;
  agent.known = true;
  if (first) QueryInDoubt(link, message);
  if (!message.service.Empty()) TellDemand(message.service);
}

void dispatch_controller::OnGrant(link_id link, const grant_message& message) {
  const auto agent = agents_.find(link);
  if (agent == agents_.end() || agent->second.announced.service.Empty()) return;
  const service_id service = agent->second.announced.service;
  for (const grant_id grant : message.grants) {
    Service(service).grants.Add(link, grant, message.lease);
  }
  metrics_.Counter("almond_dispatch_messages_total", "type=\"grant\"").Add();
  Dispatch(service);
}

void dispatch_controller::OnRecall(link_id link,
                                   const recall_message& message) {
  return_grants_message unused;
  for (auto& [service, state] : services_) {
    const auto grants = state->grants.TakeForReturn(
        link, message.count - static_cast<std::uint32_t>(unused.grants.size()));
    unused.grants.insert(unused.grants.end(), grants.begin(), grants.end());
  }
  metrics_.Counter("almond_dispatch_messages_total", "type=\"recall\"").Add();
  hooks_.send(link, unused);
}

void dispatch_controller::OnAnswer(link_id link,
                                   const answer_message& message) {
  metrics_.Counter("almond_dispatch_messages_total", "type=\"answer\"").Add();
  const auto agent = agents_.find(link);
  if (agent == agents_.end()) return;
  const service_id service = agent->second.announced.service;
  if (message.next_grant) {
    Service(service).grants.Add(link, *message.next_grant, milliseconds(2000));
  }
  Conclude(message);
  Dispatch(service);
}

void dispatch_controller::Conclude(const answer_message& answer) {
  const auto found = in_flight_.find(answer.name);
  if (found == in_flight_.end()) return;
  const duration run_time = answer.run_time;
  switch (answer.outcome) {
    case start_outcome::done:
      EndFlight(answer.name, task_success{answer.body}, run_time);
      return;
    case start_outcome::failed:
      EndFlight(answer.name,
                refusal{refusal_reason::task_failed, run_outcome::ran,
                        "endpoint answered with status " +
                            std::to_string(answer.status)},
                run_time);
      return;
    case start_outcome::lost:
      EndFlight(answer.name, refusal{refusal_reason::endpoint_lost,
                                     run_outcome::unknown, ""});
      return;
    case start_outcome::refused:
      Requeue(std::move(found->second), retry_reason::endpoint_refused);
      return;
    case start_outcome::not_sent:
      Requeue(std::move(found->second), retry_reason::start_not_sent);
      return;
    case start_outcome::fenced:
      Requeue(std::move(found->second), retry_reason::fenced);
      return;
  }
}

void dispatch_controller::Requeue(flight&& ended, retry_reason reason) {
  queued_task item = std::move(ended.item);
  const bool cancelled = ended.cancelled;
  in_flight_.erase(item.work.name);
  if (cancelled) {
    EndQueued(std::move(item), refusal_reason::cancelled);
    return;
  }
  metrics_.Retries(reason).Add();
  ++item.attempts;
  const service_id service = item.work.service;
  Service(service).queue.PushFront(std::move(item));
}

void dispatch_controller::EndFlight(const task_name& name, task_result result,
                                    duration run_time) {
  const auto found = in_flight_.find(name);
  const flight ended = std::move(found->second);
  in_flight_.erase(found);
  const bool named = ended.item.work.named_submission;
  if (!named && agents_.count(ended.link) > 0) {
    hooks_.send(ended.link, forget_message{{name}});
  }
  task_end end;
  end.wait = ended.started - ended.item.queued;
  end.run_time = run_time;
  end.work = ended.item.work;
  end.result = std::move(result);
  hooks_.on_end(end);
}

void dispatch_controller::EndQueued(queued_task item, refusal_reason reason) {
  task_end end;
  end.wait = clock_.SteadyNow() - item.queued;
  end.work = std::move(item.work);
  end.result = refusal{reason, run_outcome::not_run, ""};
  hooks_.on_end(end);
}

void dispatch_controller::OnAgentClosed(link_id agent) {
  for (auto& [service, state] : services_) state->grants.RemoveAgent(agent);
  agents_.erase(agent);
  for (auto& [name, record] : in_flight_) {
    if (record.link == agent) record.in_doubt_since = clock_.SteadyNow();
  }
}

void dispatch_controller::QueryInDoubt(link_id link,
                                       const announce_message& agent) {
  std::map<incarnation_id, std::vector<task_name>> names;
  for (auto& [name, record] : in_flight_) {
    if (!record.in_doubt_since || record.agent != agent.agent) continue;
    record.link = link;
    names[record.incarnation].push_back(name);
  }
  for (auto& [incarnation, doubtful] : names) {
    query_message query;
    query.query = ++last_query_;
    query.incarnation = incarnation;
    query.names = std::move(doubtful);
    query.fence = true;
    metrics_.Counter("almond_dispatch_messages_total", "type=\"query\"").Add();
    hooks_.send(link, query);
  }
}

void dispatch_controller::OnQueryAnswer(link_id link,
                                        const query_answer_message& message) {
  for (const task_report& report : message.tasks) {
    const auto found = in_flight_.find(report.name);
    if (found == in_flight_.end() || found->second.link != link) continue;
    found->second.in_doubt_since.reset();
    Resolve(report);
  }
}

void dispatch_controller::Resolve(const task_report& report) {
  switch (report.state) {
    case task_state::running:
      return;
    case task_state::ended:
      Conclude(report.answer);
      return;
    case task_state::never:
    case task_state::fenced: {
      const service_id service = in_flight_.at(report.name).item.work.service;
      Requeue(std::move(in_flight_.at(report.name)), retry_reason::fenced);
      Dispatch(service);
      return;
    }
    case task_state::unknown:
      EndFlight(report.name,
                refusal{refusal_reason::agent_lost, run_outcome::unknown, ""});
      return;
  }
}

void dispatch_controller::Tick() {
  const steady_time now = clock_.SteadyNow();
  for (auto& [service, state] : services_) {
    for (queued_task& item : state->queue.TakeExpired(now)) {
      EndQueued(std::move(item), refusal_reason::deadline_in_queue);
    }
    TellDemand(service);
  }
  EndOverdueFlights();
}

void dispatch_controller::EndOverdueFlights() {
  const steady_time now = clock_.SteadyNow();
  std::vector<task_name> overdue;
  std::vector<task_name> lost;
  std::vector<task_name> stopped;
  for (const auto& [name, record] : in_flight_) {
    if (record.item.work.deadline + kCancelGrace <= now) {
      overdue.push_back(name);
    } else if (record.in_doubt_since &&
               *record.in_doubt_since + kReconnectLimit <= now) {
      lost.push_back(name);
    } else if (record.item.work.deadline <= now && !record.cancelled) {
      stopped.push_back(name);
    }
  }
  for (const task_name& name : overdue) {
    EndFlight(name, refusal{refusal_reason::deadline_running,
                            run_outcome::unknown, ""});
  }
  for (const task_name& name : lost) {
    EndFlight(name,
              refusal{refusal_reason::agent_lost, run_outcome::unknown, ""});
  }
  Cancel(stopped);
}

std::size_t dispatch_controller::Queued() const {
  std::size_t total = 0;
  for (const auto& [service, state] : services_) total += state->queue.size();
  return total;
}

std::size_t dispatch_controller::Queued(const service_id& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second->queue.size();
}

std::size_t dispatch_controller::Agents(const service_id& service) const {
  return static_cast<std::size_t>(
      std::count_if(agents_.begin(), agents_.end(), [&](const auto& agent) {
        return agent.second.known && !agent.second.announced.leaving &&
               agent.second.announced.service == service;
      }));
}

}  // namespace almond
