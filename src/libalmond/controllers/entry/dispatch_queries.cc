#include <utility>

#include "libalmond/controllers/entry/dispatch_controller.h"

namespace almond {

void dispatch_controller::OnAgentClosed(link_id link) {
  if (agent_record* agent = FindAgent(link)) DisconnectAgent(*agent);
}

void dispatch_controller::DisconnectAgent(agent_record& agent) {
  const link_id link = *agent.link;
  agent.link.reset();
  agent.disconnected_at = clock_.SteadyNow();
  links_.erase(link);
  for (auto& [service, state] : services_) state->grants.RemoveAgent(link);
  for (const task_name& name : in_flight_.NamesAt(agent.announced.agent)) {
    in_flight_task& record = *in_flight_.Find(name);
    // The in-doubt timeout starts at the first connection loss, so that a
    // flapping connection cannot extend it for ever.
    if (!record.in_doubt_since) record.in_doubt_since = agent.disconnected_at;
    in_flight_.Reschedule(record);
  }
  std::vector<query_hook> unanswered;
  for (auto query = queries_.begin(); query != queries_.end();) {
    if (query->second.link != link) {
      ++query;
      continue;
    }
    unanswered.push_back(std::move(query->second.on_answer));
    query = queries_.erase(query);
  }
  for (const query_hook& on_answer : unanswered) on_answer(std::nullopt);
}

void dispatch_controller::QueryInDoubt(const agent_record& agent) {
  std::map<incarnation_id, std::vector<task_name>> names;
  for (const task_name& name : in_flight_.NamesAt(agent.announced.agent)) {
    in_flight_task& record = *in_flight_.Find(name);
    if (!record.in_doubt_since) continue;
    record.link = *agent.link;
    names[record.incarnation].push_back(name);
  }
  for (auto& [incarnation, in_doubt] : names) {
    query_message query;
    query.query = ++last_query_;
    query.incarnation = incarnation;
    query.names = std::move(in_doubt);
    query.fence = true;
    metrics_.query.Add();
    metrics_.wasted_query.Add();
    hooks_.send(*agent.link, query);
  }
}

void dispatch_controller::Query(link_id agent, query_message query,
                                query_hook on_answer) {
  query.query = ++last_query_;
  pending_query& asked = queries_[query.query];
  asked.link = agent;
  asked.on_answer = std::move(on_answer);
  asked.task_count = query.task_count;
  metrics_.query.Add();
  hooks_.send(agent, query);
}

std::vector<connected_agent> dispatch_controller::ConnectedAgents(
    const service_id& service) const {
  std::vector<connected_agent> result;
  const auto found = services_.find(service);
  if (found == services_.end()) return result;
  for (const agent_id& id : found->second->agents) {
    const agent_record& agent = agents_.at(id);
    if (!agent.link) continue;
    result.push_back({*agent.link, id, agent.announced.incarnation});
  }
  return result;
}

bool dispatch_controller::OnSubmissionAnswer(
    link_id link, const query_answer_message& message) {
  const auto asked = queries_.find(message.query);
  if (asked == queries_.end()) return false;
  pending_query& pending = asked->second;
  if (pending.link != link) return true;
  // An agent reports every name of the submission, over several messages if the
  // answers are large.
  query_answer_message& whole = pending.answer;
  std::vector<task_report> reports = std::move(whole.tasks);
  whole = message;
  whole.tasks = std::move(reports);
  for (const task_report& report : message.tasks) {
    const std::uint32_t index = report.name.index;
    const bool expected = index < pending.task_count;
    if (expected && !pending.reported.insert(index).second) continue;
    whole.tasks.push_back(report);
  }
  const bool last =
      message.tasks.empty() || pending.reported.size() >= pending.task_count;
  if (!last) return true;
  const pending_query ended = std::move(pending);
  queries_.erase(asked);
  ended.on_answer(ended.answer);
  return true;
}

void dispatch_controller::OnQueryAnswer(link_id link,
                                        const query_answer_message& message) {
  if (OnSubmissionAnswer(link, message)) return;
  std::set<service_id> services;
  for (const task_report& report : message.tasks) {
    in_flight_task* record = in_flight_.Find(report.name);
    agent_record* agent = FindAgent(link);
    if (record == nullptr && agent != nullptr &&
        report.state == task_state::ended) {
      agent->OnLateAnswer(report.name);
    }
    // On a duplicate or late answer the task has ended or is no longer in
    // doubt.
    if (record == nullptr || record->link != link || !record->in_doubt_since) {
      continue;
    }
    services.insert(record->item.work.service);
    record->in_doubt_since.reset();
    in_flight_.Reschedule(*record);
    ResolveInDoubt(report, record->incarnation == message.incarnation);
  }
  for (const service_id& service : services) Dispatch(service);
}

void dispatch_controller::ResolveInDoubt(const task_report& report,
                                         bool same_incarnation) {
  const in_flight_task& record = *in_flight_.Find(report.name);
  task_state state = report.state;
  // Another incarnation cannot prove that the task was never started.
  if (!same_incarnation) state = task_state::unknown;
  switch (state) {
    case task_state::running:
      // The cancel message may have been lost with the connection.
      if (record.cancelled || record.past_deadline) SendCancels({report.name});
      return;
    case task_state::ended: {
      answer_message answer = report.answer;
      answer.name = report.name;
      ApplyAnswer(answer);
      return;
    }
    case task_state::not_seen:
    case task_state::fenced:
      Requeue(report.name, retry_reason::fenced);
      return;
    case task_state::unknown:
      Abandon(report.name);
      return;
  }
}

}  // namespace almond
