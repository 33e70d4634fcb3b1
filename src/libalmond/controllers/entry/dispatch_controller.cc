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
    state = std::make_unique<service_state>(
        clock_,
        [this](link_id link, std::size_t held) {
          return RankAgent(link, held);
        },
        hooks_.team_weight);
  }
  return *state;
}

agent_record* dispatch_controller::FindAgent(link_id link) {
  const auto found = links_.find(link);
  return found == links_.end() ? nullptr : &agents_.at(found->second);
}

std::optional<double> dispatch_controller::RankAgent(link_id link,
                                                     std::size_t held) const {
  // A due probe ranks first; otherwise an ejected endpoint would never be
  // probed while the others have free slots.
  constexpr double kProbeRank = 1e9;
  constexpr double kOwnDataCentreRank = 1e6;
  constexpr double kHealthySuccessRate = 0.5;
  const auto found = links_.find(link);
  if (found == links_.end()) return std::nullopt;
  const agent_record& agent = agents_.at(found->second);
  if (agent.evacuated) return std::nullopt;
  const std::size_t running = in_flight_.CountAt(found->second);
  const double success = agent.health.SuccessRate();
  const double mean_success =
      services_.at(agent.announced.service)->mean_success;
  if (agent.health.Ejected()) {
    if (running > 0 ||
        !agent.health.ProbeDue(clock_.SteadyNow(), mean_success)) {
      return std::nullopt;
    }
    return kProbeRank;
  }
  // The agent itself enforces its number of slots. This limit applies only to
  // endpoints that fail more often than others.
  const std::uint32_t slots = agent.announced.slots;
  const std::uint32_t allowed = agent.health.AllowedTasks(slots, mean_success);
  if (allowed < slots && running >= allowed) return std::nullopt;
  const bool own = !hooks_.data_centre.Empty() &&
                   success >= kHealthySuccessRate &&
                   agent.announced.data_centre == hooks_.data_centre;
  return (own ? kOwnDataCentreRank : 0) + static_cast<double>(held) * success;
}

bool dispatch_controller::MayStart(const team_id& team) const {
  if (!hooks_.team_running_limit) return true;
  return in_flight_.TeamCount(team) < hooks_.team_running_limit(team);
}

void dispatch_controller::Submit(task work, const agent_id& avoid) {
  std::vector<task> tasks;
  tasks.push_back(std::move(work));
  SubmitAll(std::move(tasks), avoid);
}

void dispatch_controller::SubmitAll(std::vector<task> tasks,
                                    const agent_id& avoid) {
  std::set<service_id> services;
  const steady_time now = clock_.SteadyNow();
  for (task& work : tasks) {
    task_queue& queue = Service(work.service).queue;
    services.insert(work.service);
    queue.Push({std::move(work), now, 0, avoid});
  }
  for (const service_id& service : services) Dispatch(service);
}

void dispatch_controller::Dispatch(const service_id& service) {
  service_state& state = Service(service);
  const steady_time now = clock_.SteadyNow();
  // Tasks are ended only after the queue is consistent again, since the hook
  // may cancel or submit tasks.
  std::vector<queued_task> passed_over;
  std::vector<queued_task> expired;
  const auto may_start = [this](const team_id& team) { return MayStart(team); };
  while (passed_over.size() < kMaxPassedOver && state.grants.size() > 0) {
    auto item = state.queue.Pop(may_start);
    if (!item) break;
    if (item->work.deadline - now < milliseconds(1)) {
      expired.push_back(std::move(*item));
    } else if (!TryStart(state, *item)) {
      passed_over.push_back(std::move(*item));
    }
  }
  RequeuePassedOver(state, std::move(passed_over));
  state.rate.SetBacklogged(now, !state.queue.empty());
  SendDemand(service);
  for (queued_task& item : expired) {
    EndQueued(std::move(item), refusal_reason::deadline_in_queue);
  }
}

void dispatch_controller::RequeuePassedOver(
    service_state& state, std::vector<queued_task> passed_over) {
  // Once the limit of skipped tasks is reached, those with declared sizes move
  // to the end, or they would block the tasks behind them.
  const bool blocked = passed_over.size() >= kMaxPassedOver;
  std::vector<queued_task> front;
  for (queued_task& item : passed_over) {
    if (blocked && HasSizes(item.work)) {
      state.queue.Push(std::move(item));
    } else {
      front.push_back(std::move(item));
    }
  }
  for (auto item = front.rbegin(); item != front.rend(); ++item) {
    state.queue.PushFront(std::move(*item));
  }
}

bool dispatch_controller::TryStart(service_state& state, queued_task& item) {
  const steady_time now = clock_.SteadyNow();
  const auto fits = [&](link_id link) {
    const agent_record* agent = FindAgent(link);
    return agent != nullptr && agent->FitsNow(item.work.size, now);
  };
  const auto avoided = agents_.find(item.avoid);
  const auto grant = state.grants.Take(
      fits, avoided == agents_.end() ? std::nullopt : avoided->second.link);
  if (!grant) return false;
  Start(std::move(item), *grant, state.queue.size());
  return true;
}

void dispatch_controller::Start(queued_task item, const held_grant& grant,
                                std::size_t backlog) {
  agent_record& agent = *FindAgent(grant.agent);
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
  // The agent's share of the backlog, rounded up because this agent frees the
  // next slot.
  const std::size_t agents =
      std::max<std::size_t>(1, Service(item.work.service).agents.size());
  start.backlog = static_cast<std::uint32_t>((backlog + agents - 1) / agents);
  agent.sent_backlog = start.backlog;
  in_flight_task record;
  record.item = std::move(item);
  record.link = grant.agent;
  record.agent = agent.announced.agent;
  record.incarnation = agent.announced.incarnation;
  record.started_at = now;
  in_flight_.Add(std::move(record));
  metrics_.start.Add();
  hooks_.send(grant.agent, start);
}

void dispatch_controller::Cancel(const service_id& service,
                                 const std::vector<task_name>& names) {
  std::vector<task_name> running;
  std::vector<queued_task> queued;
  service_state& state = Service(service);
  for (const task_name& name : names) {
    if (in_flight_task* record = in_flight_.Find(name)) {
      if (record->cancelled) continue;
      record->cancelled = true;
      record->abandon_at = clock_.SteadyNow() + kCancelGracePeriod;
      in_flight_.Reschedule(*record);
      running.push_back(name);
    } else if (auto item = state.queue.Remove(name)) {
      queued.push_back(std::move(*item));
    }
  }
  SendCancels(running);
  for (queued_task& item : queued) {
    EndQueued(std::move(item), refusal_reason::cancelled);
  }
}

void dispatch_controller::OnOverload(const service_id& service) {
  Service(service).refused_at = clock_.SteadyNow();
  SendDemand(service);
}

void dispatch_controller::EndQueued(queued_task item, refusal_reason reason) {
  task_end end;
  end.wait = clock_.SteadyNow() - item.queued_at;
  end.total = end.wait;
  end.work = std::move(item.work);
  end.agent = item.avoid;
  end.result = refusal{reason, run_outcome::not_run, ""};
  hooks_.on_end(end);
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

std::size_t dispatch_controller::TeamQueued(const team_id& team) const {
  std::size_t total = 0;
  for (const auto& [service, state] : services_) {
    total += state->queue.TeamSize(team);
  }
  return total;
}

std::size_t dispatch_controller::AgentCount(const service_id& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return 0;
  const auto& agents = found->second->agents;
  return static_cast<std::size_t>(std::count_if(
      agents.begin(), agents.end(),
      [this](const agent_id& id) { return agents_.at(id).TakesStarts(); }));
}

std::size_t dispatch_controller::Ejected(const service_id& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return 0;
  const auto& agents = found->second->agents;
  return static_cast<std::size_t>(
      std::count_if(agents.begin(), agents.end(), [this](const agent_id& id) {
        const agent_record& agent = agents_.at(id);
        return agent.TakesStarts() && agent.health.Ejected();
      }));
}

bool dispatch_controller::Fits(const service_id& service,
                               const task_size& size) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return false;
  const auto& agents = found->second->agents;
  return std::any_of(agents.begin(), agents.end(), [&](const agent_id& id) {
    const agent_record& agent = agents_.at(id);
    return agent.TakesStarts() && agent.Fits(size);
  });
}

service_load dispatch_controller::ServiceLoad(const service_id& service,
                                              const team_id& team) {
  service_state& state = Service(service);
  std::size_t slots = 0;
  std::size_t unusable_grants = 0;
  for (const agent_id& id : state.agents) {
    const agent_record& agent = agents_.at(id);
    if (agent.TakesStarts() && !agent.health.Ejected()) {
      slots += agent.announced.slots;
    }
    if (agent.evacuated && agent.link) {
      unusable_grants += state.grants.CountOf(*agent.link);
    }
  }
  service_load load;
  load.agents = AgentCount(service);
  load.queued = state.queue.size();
  load.team_queued = state.queue.TeamSize(team);
  load.grants = state.grants.size() - unusable_grants;
  load.team_share = state.queue.TeamShare(team);
  load.tasks_per_second = state.rate.TasksPerSecond(clock_.SteadyNow(), slots);
  load.run_time_p90 = state.rate.RunTimeP90();
  return load;
}

std::size_t dispatch_controller::PendingMessages() const {
  std::size_t unacknowledged = 0;
  for (const auto& [id, agent] : agents_) {
    unacknowledged += agent.unacknowledged.size();
  }
  return queries_.size() + unacknowledged;
}

}  // namespace almond
