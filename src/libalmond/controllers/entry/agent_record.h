#ifndef ALMOND_CONTROLLERS_ENTRY_AGENT_RECORD_H_
#define ALMOND_CONTROLLERS_ENTRY_AGENT_RECORD_H_

#include <optional>
#include <unordered_set>
#include <vector>

#include "libalmond/controllers/entry/endpoint_health.h"
#include "libalmond/core/dispatch_messages.h"

namespace almond {

/// @returns true if the caller has declared what the task takes up; only such
///   a task can fail to fit beside others
inline bool HasSizes(const task& work) {
  return work.size.cpu_milli > 0 || work.size.memory_mib > 0;
}

/// What an entry knows of one agent. The record outlives a connection.
struct agent_record {
  /// Given-up names that are remembered; the agent drops others at the end of
  /// its window.
  static constexpr std::size_t kMaxGivenUp = 4096;

  announce_message announced;
  std::optional<link_id> link;  ///< empty while there is no connection
  link_id newest_link;          ///< newest connection so far
  steady_time closed;           ///< end of the last connection
  std::uint32_t told_backlog = 0;
  bool told_overloaded = false;
  endpoint_health health;
  /// Answered names that the agent has not been told to forget yet.
  std::vector<task_name> forgets;
  /// Plain tasks that were given up here, whose answers may still come.
  std::unordered_set<task_name> given_up;
  /// A task of this size did not fit; its like is not sent before the time.
  task_size refused_size;
  steady_time refused_until;

  void AddGivenUp(const task_name& name) {
    if (given_up.size() < kMaxGivenUp) given_up.insert(name);
  }
  /// Takes note of an answer for which no task waits.
  void OnLateAnswer(const task_name& name) {
    if (given_up.erase(name) > 0) forgets.push_back(name);
  }
  /// @returns true if the agent may be given tasks
  bool Usable() const {
    return link && !announced.leaving && announced.slots > 0 &&
           !announced.service.Empty();
  }
  /// @returns true if the endpoint is large enough; sizes of 0 are unknown
  bool Fits(const task_size& size) const {
    return (announced.cpu_milli == 0 ||
            size.cpu_milli <= announced.cpu_milli) &&
           (announced.memory_mib == 0 ||
            size.memory_mib <= announced.memory_mib);
  }
  /// @returns true if the endpoint is large enough and has not refused such a
  ///   task a moment ago
  bool FitsNow(const task_size& size, steady_time now) const {
    const bool refused = refused_until > now &&
                         size.cpu_milli >= refused_size.cpu_milli &&
                         size.memory_mib >= refused_size.memory_mib;
    return Fits(size) && !refused;
  }
};

/// A connected agent, for queries about a whole submission.
struct connected_agent {
  link_id link;
  agent_id agent;
  incarnation_id incarnation;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_AGENT_RECORD_H_
