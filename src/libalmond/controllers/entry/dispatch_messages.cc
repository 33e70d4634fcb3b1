#include <utility>

#include "libalmond/controllers/entry/dispatch_controller.h"

namespace almond {

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
  agent_record& agent = agents_[message.agent];
  // Links are numbered in the order of acceptance, so an older link is a
  // connection that has been replaced.
  if (link < agent.newest_link) return;
  agent.newest_link = link;
  const bool first = agent.link != link;
  if (first && agent.link) {
    const link_id replaced = *agent.link;
    DisconnectAgent(agent);
    if (hooks_.close) hooks_.close(replaced);
  }
  const service_id before = agent.announced.service;
  if (agent.announced.incarnation != message.incarnation) {
    agent.unacknowledged.clear();
    agent.abandoned.clear();
    agent.unfit_until = steady_time();
  }
  agent.announced = message;
  agent.evacuated = evacuations_.Contains(message.data_centre);
  agent.link = link;
  links_[link] = message.agent;
  if (before != message.service || !agent.Usable()) {
    ReturnGrants(link, UINT32_MAX);
    if (before != message.service && !before.Empty()) {
      Service(before).agents.erase(message.agent);
    }
  }
  if (!message.service.Empty()) {
    Service(message.service).agents.insert(message.agent);
  }
  if (first) {
    agent.sent_backlog = 0;
    agent.sent_overloaded = false;
    QueryInDoubt(agent);
  }
  if (message.service.Empty()) return;
  if (agent.Usable()) Service(message.service).grants.Renew(link, kGrantLease);
  // Every tick updates the demand of all agents. Doing so on each announcement
  // as well would cost quadratic work in the number of agents.
  if (first) SendDemand(message.service);
}

void dispatch_controller::SetEvacuations(const evacuation_list& list) {
  // Grants of evacuated agents are kept. An agent that is cut off from the
  // control leader would grant returned ones again.
  evacuations_ = list;
  for (auto& [id, agent] : agents_) {
    agent.evacuated = evacuations_.Contains(agent.announced.data_centre);
  }
}

void dispatch_controller::OnGrant(link_id link, const grant_message& message) {
  metrics_.grant.Add();
  const agent_record* agent = FindAgent(link);
  if (agent == nullptr || !agent->Usable()) return;
  const service_id service = agent->announced.service;
  for (const grant_id grant : message.grants) {
    Service(service).grants.Add(link, grant, message.lease);
  }
  Dispatch(service);
}

void dispatch_controller::OnRecall(link_id link,
                                   const recall_message& message) {
  metrics_.recall.Add();
  metrics_.wasted_recall.Add();
  ReturnGrants(link, message.count);
}

void dispatch_controller::ReturnGrants(link_id link, std::uint32_t count) {
  return_grants_message unused;
  for (auto& [service, state] : services_) {
    const auto grants = state->grants.TakeForReturn(
        link, count - static_cast<std::uint32_t>(unused.grants.size()));
    unused.grants.insert(unused.grants.end(), grants.begin(), grants.end());
  }
  if (unused.grants.empty()) return;
  metrics_.return_grants.Add();
  metrics_.wasted_return.Add();
  hooks_.send(link, unused);
}

void dispatch_controller::OnAnswer(link_id link,
                                   const answer_message& message) {
  metrics_.answer.Add();
  agent_record* agent = FindAgent(link);
  if (agent == nullptr) return;
  const service_id service = agent->announced.service;
  if (message.next_grant && agent->Usable()) {
    Service(service).grants.Add(link, *message.next_grant, kGrantLease);
  }
  const in_flight_task* record = in_flight_.Find(message.name);
  // An answer to an earlier start must not end or requeue the task. Such an
  // answer arrives over another connection, or from an incarnation that did not
  // receive this start.
  if (record != nullptr && record->link == link &&
      record->incarnation == agent->announced.incarnation) {
    ApplyAnswer(message);
  } else {
    metrics_.late_answers.Add();
    agent->OnLateAnswer(message.name);
  }
  if (!service.Empty()) Dispatch(service);
}

void dispatch_controller::ApplyAnswer(const answer_message& answer) {
  switch (answer.outcome) {
    case start_outcome::done:
      RecordHealth(in_flight_.Find(answer.name)->agent, true);
      EndInFlight(answer.name, task_success{answer.body}, answer.run_time);
      return;
    case start_outcome::failed:
    case start_outcome::lost:
      EndFailed(answer);
      return;
    case start_outcome::refused:
      Requeue(answer.name, retry_reason::endpoint_refused);
      return;
    case start_outcome::not_sent:
      Requeue(answer.name, retry_reason::start_not_sent);
      return;
    case start_outcome::fenced:
      Requeue(answer.name, retry_reason::fenced);
      return;
  }
}

void dispatch_controller::EndFailed(const answer_message& answer) {
  const in_flight_task& record = *in_flight_.Find(answer.name);
  const bool ran = answer.outcome == start_outcome::failed;
  refusal failure{
      ran ? refusal_reason::task_failed : refusal_reason::endpoint_lost,
      ran ? run_outcome::ran : run_outcome::unknown, ""};
  if (record.past_deadline) {
    failure.reason = refusal_reason::deadline_running;
  } else if (record.cancelled) {
    failure.reason = refusal_reason::cancelled;
  } else {
    // The failure of a task that was stopped on request is no evidence against
    // its endpoint.
    RecordHealth(record.agent, false);
    if (ran) {
      failure.detail =
          "endpoint answered with status " + std::to_string(answer.status);
    }
  }
  EndInFlight(answer.name, std::move(failure), answer.run_time);
}

void dispatch_controller::Requeue(const task_name& name, retry_reason reason) {
  metrics_.wasted_start.Add();
  in_flight_task ended = in_flight_.Remove(name);
  queued_task item = std::move(ended.item);
  item.avoid = ended.agent;
  if (ended.past_deadline || item.work.deadline <= clock_.SteadyNow()) {
    EndQueued(std::move(item), refusal_reason::deadline_in_queue);
  } else if (ended.cancelled) {
    EndQueued(std::move(item), refusal_reason::cancelled);
  } else if (reason == retry_reason::start_not_sent && HasSizes(item.work)) {
    RequeueUnfit(std::move(item));
  } else if (++item.attempts >= kMaxNotRunAttempts) {
    EndQueued(std::move(item), refusal_reason::endpoint_refused);
  } else {
    metrics_.all.Retries(reason).Add();
    const service_id service = item.work.service;
    Service(service).queue.PushFront(std::move(item));
  }
}

void dispatch_controller::RequeueUnfit(queued_task item) {
  // The agent's grants remain available to the tasks behind this one. The
  // attempt is not counted, since kUnfitRetryDelay limits the number of starts
  // until the deadline.
  const auto agent = agents_.find(item.avoid);
  if (agent != agents_.end()) {
    agent->second.unfit_size = item.work.size;
    agent->second.unfit_until = clock_.SteadyNow() + kUnfitRetryDelay;
  }
  metrics_.all.Retries(retry_reason::start_not_sent).Add();
  const service_id service = item.work.service;
  Service(service).queue.Push(std::move(item));
}

void dispatch_controller::EndInFlight(const task_name& name, task_result result,
                                      std::optional<duration> run_time) {
  const steady_time now = clock_.SteadyNow();
  in_flight_task ended = in_flight_.Remove(name);
  const auto agent = agents_.find(ended.agent);
  if (run_time) {
    Service(ended.item.work.service).rate.AddCompletion(now, *run_time);
  }
  if (agent != agents_.end() &&
      agent->second.announced.incarnation == ended.incarnation) {
    // Answers of named submissions are not acknowledged, as a resubmission may
    // need them.
    const bool plain = !ended.item.work.named_submission;
    if (run_time) agent->second.unfit_until = now;
    if (plain && run_time) agent->second.unacknowledged.push_back(name);
    if (plain && !run_time) agent->second.AddAbandoned(name);
  }
  task_end end;
  end.wait = ended.started_at - ended.item.queued_at;
  end.total = now - ended.item.queued_at;
  end.run_time = run_time.value_or(duration(0));
  end.work = std::move(ended.item.work);
  end.agent = ended.agent;
  end.result = std::move(result);
  hooks_.on_end(end);
}

void dispatch_controller::RecordHealth(const agent_id& id, bool success) {
  const auto found = agents_.find(id);
  if (found == agents_.end()) return;
  agent_record& agent = found->second;
  const steady_time now = clock_.SteadyNow();
  const bool readmitted = agent.health.RecordOutcome(success, now);
  UpdateMeanSuccess(agent.announced.service);
  if (readmitted) metrics_.readmissions.Add();
  if (!agent.health.IsSuspect() || !MayEject(agent)) return;
  agent.health.Eject(now);
  metrics_.ejections.Add();
  if (agent.link) ReturnGrants(*agent.link, UINT32_MAX);
}

void dispatch_controller::UpdateMeanSuccess(const service_id& service) {
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  double total = 0;
  std::size_t count = 0;
  for (const agent_id& id : found->second->agents) {
    const agent_record& agent = agents_.at(id);
    if (!agent.Usable() || agent.health.Ejected()) continue;
    total += agent.health.SuccessRate();
    ++count;
  }
  found->second->mean_success =
      count == 0 ? 1 : total / static_cast<double>(count);
}

bool dispatch_controller::MayEject(const agent_record& agent) const {
  const auto service = services_.find(agent.announced.service);
  if (service == services_.end()) return false;
  std::size_t usable = 0;
  std::size_t ejected = 0;
  double others = 0;
  for (const agent_id& id : service->second->agents) {
    const agent_record& other = agents_.at(id);
    if (!other.Usable()) continue;
    ++usable;
    if (other.health.Ejected()) ++ejected;
    if (&other != &agent && !other.health.Ejected()) {
      others += other.health.SuccessRate();
    }
  }
  if (usable < 2 || (ejected + 1) * 2 > usable) return false;
  // Work that fails at every endpoint is no evidence against this one.
  const double mean = others / static_cast<double>(usable - ejected - 1);
  return agent.health.SuccessRate() < mean / 2;
}

}  // namespace almond
