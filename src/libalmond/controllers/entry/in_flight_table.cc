#include "libalmond/controllers/entry/in_flight_table.h"

#include <algorithm>
#include <utility>

namespace almond {

in_flight_task& in_flight_table::Add(in_flight_task started) {
  const task_name name = started.item.work.name;
  by_agent_[started.agent].insert(name);
  ++by_team_[started.item.work.team];
  in_flight_task& record = tasks_[name];
  record = std::move(started);
  record.next_event = record.item.work.deadline;
  events_.emplace(record.next_event, name);
  return record;
}

in_flight_task* in_flight_table::Find(const task_name& name) {
  const auto found = tasks_.find(name);
  return found == tasks_.end() ? nullptr : &found->second;
}

in_flight_task in_flight_table::Remove(const task_name& name) {
  const auto found = tasks_.find(name);
  in_flight_task record = std::move(found->second);
  tasks_.erase(found);
  events_.erase({record.next_event, name});
  const auto agent = by_agent_.find(record.agent);
  agent->second.erase(name);
  if (agent->second.empty()) by_agent_.erase(agent);
  const auto team = by_team_.find(record.item.work.team);
  if (--team->second == 0) by_team_.erase(team);
  return record;
}

void in_flight_table::Reschedule(in_flight_task& record) {
  const task_name& name = record.item.work.name;
  events_.erase({record.next_event, name});
  steady_time next =
      record.past_deadline ? steady_time::max() : record.item.work.deadline;
  if (record.abandon_at) next = std::min(next, *record.abandon_at);
  if (record.in_doubt_since) {
    next = std::min(next, *record.in_doubt_since + kInDoubtTimeout);
  }
  record.next_event = next;
  events_.emplace(next, name);
}

std::vector<task_name> in_flight_table::Due(steady_time now) const {
  std::vector<task_name> due;
  for (const auto& [time, name] : events_) {
    if (time > now) break;
    due.push_back(name);
  }
  return due;
}

std::vector<task_name> in_flight_table::NamesAt(const agent_id& agent) const {
  const auto found = by_agent_.find(agent);
  if (found == by_agent_.end()) return {};
  return {found->second.begin(), found->second.end()};
}

std::size_t in_flight_table::CountAt(const agent_id& agent) const {
  const auto found = by_agent_.find(agent);
  return found == by_agent_.end() ? 0 : found->second.size();
}

std::size_t in_flight_table::TeamCount(const team_id& team) const {
  const auto found = by_team_.find(team);
  return found == by_team_.end() ? 0 : found->second;
}

}  // namespace almond
