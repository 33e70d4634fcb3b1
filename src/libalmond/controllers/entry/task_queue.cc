#include "libalmond/controllers/entry/task_queue.h"

#include <algorithm>
#include <utility>

namespace almond {

void task_queue::Push(queued_task item) {
  const team_id team = item.work.team;
  task_list& tasks = teams_[team].tasks;
  tasks.push_back(std::move(item));
  Index(team, std::prev(tasks.end()));
}

void task_queue::PushFront(queued_task item) {
  const team_id team = item.work.team;
  task_list& tasks = teams_[team].tasks;
  tasks.push_front(std::move(item));
  Index(team, tasks.begin());
}

void task_queue::Index(const team_id& team, task_list::iterator position) {
  index_.emplace(position->work.name, location{team, position});
  deadlines_.emplace(position->work.deadline, position->work.name);
}

queued_task task_queue::Take(team_queue& queue, task_list::iterator position) {
  queued_task item = std::move(*position);
  queue.tasks.erase(position);
  index_.erase(item.work.name);
  deadlines_.erase({item.work.deadline, item.work.name});
  return item;
}

std::uint32_t task_queue::Weight(const team_id& team) const {
  return std::max<std::uint32_t>(1, weight_(team));
}

std::optional<queued_task> task_queue::Pop(
    const std::function<bool(const team_id&)>& may_start) {
  auto turn = teams_.lower_bound(current_team_);
  // One visit allows a team as many tasks as its weight. A team without tasks
  // loses its credit, so that it cannot save up for a burst.
  for (std::size_t visits = teams_.size(); visits > 0; --visits) {
    if (turn == teams_.end()) turn = teams_.begin();
    team_queue& queue = turn->second;
    if (queue.tasks.empty()) {
      turn = teams_.erase(turn);
      continue;
    }
    if (!may_start(turn->first)) {
      ++turn;
      continue;
    }
    if (queue.credit == 0) queue.credit = Weight(turn->first);
    --queue.credit;
    const auto next = std::next(turn);
    queued_task item = Take(queue, queue.tasks.begin());
    if (queue.credit > 0 && !queue.tasks.empty()) {
      current_team_ = turn->first;
      return item;
    }
    queue.credit = 0;
    current_team_ = next == teams_.end() ? team_id() : next->first;
    if (queue.tasks.empty()) teams_.erase(turn);
    return item;
  }
  return std::nullopt;
}

double task_queue::TeamShare(const team_id& team) const {
  const double own = Weight(team);
  double total = own;
  for (const auto& [other, queue] : teams_) {
    if (other != team && !queue.tasks.empty()) total += Weight(other);
  }
  return own / total;
}

std::optional<queued_task> task_queue::Remove(const task_name& name) {
  const auto found = index_.find(name);
  if (found == index_.end()) return std::nullopt;
  const location place = found->second;
  return Take(teams_.at(place.team), place.position);
}

std::vector<queued_task> task_queue::TakeExpired(steady_time now) {
  std::vector<queued_task> expired;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const task_name name = deadlines_.begin()->second;
    expired.push_back(*Remove(name));
  }
  return expired;
}

std::size_t task_queue::TeamSize(const team_id& team) const {
  const auto found = teams_.find(team);
  return found == teams_.end() ? 0 : found->second.tasks.size();
}

std::optional<steady_time> task_queue::OldestQueuedAt() const {
  std::optional<steady_time> oldest;
  for (const auto& [team, queue] : teams_) {
    if (queue.tasks.empty()) continue;
    const steady_time first = queue.tasks.front().queued_at;
    oldest = oldest ? std::min(*oldest, first) : first;
  }
  return oldest;
}

}  // namespace almond
