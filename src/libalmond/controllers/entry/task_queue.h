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

/// A queued task with the time at which it was queued.
struct queued_task {
  task work;
  steady_time queued;
  std::uint32_t attempts = 0;  ///< starts of it that proved not to have run
  /// Agent of the last attempt; another one is preferred.
  agent_id avoid;
};

/// The queue of one service at one entry: first in, first out within a team,
/// deficit round robin between teams. All operations cost logarithmic time at
/// most.
class task_queue {
 public:
  using weight_hook = std::function<std::uint32_t(const team_id&)>;

  /// @param weight share of a team among the teams with queued work
  explicit task_queue(weight_hook weight) : weight_(std::move(weight)) {}

  void Push(queued_task item);
  /// Puts a task that was not started back to the head of its team's queue.
  void PushFront(queued_task item);
  /// @param may_run tells teams that may start a task from those at their limit
  /// @returns the task that goes next, or nothing if no team has one
  std::optional<queued_task> Pop(
      const std::function<bool(const team_id&)>& may_run);
  /// Removes a task wherever it stands.
  std::optional<queued_task> Remove(const task_name& name);
  /// Removes the tasks whose deadline has passed.
  /// @param now compared with the deadlines
  std::vector<queued_task> TakeExpired(steady_time now);

  std::size_t size() const { return index_.size(); }
  bool empty() const { return index_.empty(); }
  /// @returns number of queued tasks of a team
  std::size_t TeamSize(const team_id& team) const;
  /// @returns the team's share of the weights of all teams with queued work
  double TeamShare(const team_id& team) const;
  /// @returns the time at which the oldest task was queued
  std::optional<steady_time> Oldest() const;

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
  /// Team whose turn it is in the round robin.
  team_id turn_;
  std::unordered_map<task_name, location> index_;
  std::set<std::pair<steady_time, task_name>> deadlines_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_TASK_QUEUE_H_
