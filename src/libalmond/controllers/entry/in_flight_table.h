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

/// A task that was sent to an agent and has not ended.
struct in_flight_task {
  queued_task item;
  /// The connection that may report on it: the one that the start or the last
  /// query went to.
  link_id link;
  agent_id agent;
  incarnation_id incarnation;
  steady_time started;
  bool cancelled = false;  ///< the caller or the job gave it up
  bool overdue = false;    ///< its deadline has passed
  /// Set from the loss of the connection until the agent reports again.
  std::optional<steady_time> in_doubt_since;
  /// End of the time in which the agent can still tell the outcome.
  std::optional<steady_time> give_up;
  steady_time next_event;  ///< set by the table
};

/// The tasks in flight of one entry, by name, by agent and by the time of their
/// next event. All operations cost logarithmic time at most.
class in_flight_table {
 public:
  /// Time for which a task may be in doubt before it is given up as unknown.
  static constexpr milliseconds kDoubtLimit{3000};

  /// @returns the stored record, valid until it is removed
  in_flight_task& Add(in_flight_task started);
  /// @returns the record, or null
  in_flight_task* Find(const task_name& name);
  /// @param name a task in flight
  in_flight_task Remove(const task_name& name);
  /// Updates the time of the next event after a change of the record.
  void Arm(in_flight_task& record);

  /// @returns tasks whose next event is due
  std::vector<task_name> Due(steady_time now) const;
  /// @returns tasks in flight at an agent, in any incarnation of it
  std::vector<task_name> At(const agent_id& agent) const;
  std::size_t CountAt(const agent_id& agent) const;
  std::size_t TeamCount(const team_id& team) const;
  std::size_t size() const { return flights_.size(); }

 private:
  std::unordered_map<task_name, in_flight_task> flights_;
  std::unordered_map<agent_id, std::unordered_set<task_name>> by_agent_;
  std::map<team_id, std::size_t> by_team_;
  std::set<std::pair<steady_time, task_name>> events_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_IN_FLIGHT_TABLE_H_
