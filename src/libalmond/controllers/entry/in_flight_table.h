#ifndef ALMOND_CONTROLLERS_ENTRY_IN_FLIGHT_TABLE_H_
#define ALMOND_CONTROLLERS_ENTRY_IN_FLIGHT_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "libalmond/controllers/entry/task_queue.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/identifiers.h"

namespace almond {

/// A task that was sent to an agent and whose end is not known yet.
struct in_flight_task {
  queued_task item;
  /// Connection over which the start or the last query was sent. Reports over
  /// other connections are ignored.
  link_id link;
  agent_id agent;
  incarnation_id incarnation;
  steady_time started_at;
  bool cancelled = false;  ///< cancelled by the caller or its job
  bool past_deadline = false;
  /// Time of the first connection loss; empty again once the agent has reported
  /// on the task.
  std::optional<steady_time> in_doubt_since;
  /// After this time the task is abandoned with an unknown outcome.
  std::optional<steady_time> abandon_at;
  steady_time next_event;  ///< maintained by the table
};

/// Table of an entry's tasks in flight, indexed by name, agent and next event.
/// Each operation takes at most logarithmic time.
class in_flight_table {
 public:
  /// Time after which a task in doubt is abandoned with an unknown outcome.
  static constexpr milliseconds kInDoubtTimeout{3000};

  /// @returns the stored record, valid until its removal
  in_flight_task& Add(in_flight_task started);
  /// @returns the record, or null
  in_flight_task* Find(const task_name& name);
  /// @param name must be in flight
  in_flight_task Remove(const task_name& name);
  /// Recomputes the next event after the record has changed.
  void Reschedule(in_flight_task& record);

  /// @returns tasks whose next event is due
  std::vector<task_name> Due(steady_time now) const;
  /// @returns tasks in flight at an agent, in any incarnation of it
  std::vector<task_name> NamesAt(const agent_id& agent) const;
  std::size_t CountAt(const agent_id& agent) const;
  std::size_t TeamCount(const team_id& team) const;
  std::size_t size() const { return tasks_.size(); }

 private:
  std::unordered_map<task_name, in_flight_task> tasks_;
  std::unordered_map<agent_id, std::unordered_set<task_name>> by_agent_;
  std::map<team_id, std::size_t> by_team_;
  std::set<std::pair<steady_time, task_name>> events_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_IN_FLIGHT_TABLE_H_
