#ifndef ALMOND_CONTROLLERS_ENTRY_TASK_QUEUE_H_
#define ALMOND_CONTROLLERS_ENTRY_TASK_QUEUE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/task.h"

namespace almond {

/// A queued task and the state of its attempts.
struct queued_task {
  task work;
  steady_time queued_at;
  std::uint32_t attempts = 0;  ///< earlier starts that did not run
  /// Agent of the last attempt; other agents are preferred.
  agent_id avoid;
};

/// Queue of one service at one entry: first in, first out within a team,
/// deficit round robin between teams. Each operation takes at most logarithmic
/// time.
class task_queue {
 public:
  using weight_hook = std::function<std::uint32_t(const team_id&)>;

  /// @param weight returns a team's weight among the teams with queued tasks
  explicit task_queue(weight_hook weight) : weight_(std::move(weight)) {}

  void Push(queued_task item);
  /// Puts a task that was taken but did not run back at the head of its team's
  /// queue.
  void PushFront(queued_task item);
  /// @param may_start returns false for teams at their limit of running tasks
  /// @returns the next task, or nothing if no team may start one
  std::optional<queued_task> Pop(
      const std::function<bool(const team_id&)>& may_start);
  /// Removes a task from any position.
  std::optional<queued_task> Remove(const task_name& name);
  /// Removes the tasks whose deadline is at or before `now`.
  std::vector<queued_task> TakeExpired(steady_time now);

  std::size_t size() const { return index_.size(); }
  bool empty() const { return index_.empty(); }
  /// @returns number of queued tasks of a team
  std::size_t TeamSize(const team_id& team) const;
  /// @returns the team's share of the weights of all teams with queued tasks
  double TeamShare(const team_id& team) const;
  /// @returns the time at which the oldest task was queued
  std::optional<steady_time> OldestQueuedAt() const;

 private:
  using task_list = std::list<queued_task>;
  struct team_queue {
    task_list tasks;
    std::uint32_t credit = 0;
  };
  struct location {
    team_id team;
    task_list::iterator position;
  };

  void Index(const team_id& team, task_list::iterator position);
  queued_task Take(team_queue& queue, task_list::iterator position);
  std::uint32_t Weight(const team_id& team) const;

  weight_hook weight_;
  std::map<team_id, team_queue> teams_;
  /// Team whose turn it is; empty for the first one.
  team_id current_team_;
  std::unordered_map<task_name, location> index_;
  std::set<std::pair<steady_time, task_name>> deadlines_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_TASK_QUEUE_H_
