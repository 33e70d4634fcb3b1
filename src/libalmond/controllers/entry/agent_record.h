#ifndef ALMOND_CONTROLLERS_ENTRY_AGENT_RECORD_H_
#define ALMOND_CONTROLLERS_ENTRY_AGENT_RECORD_H_

#include <optional>
#include <unordered_set>
#include <vector>

#include "libalmond/controllers/entry/endpoint_health.h"
#include "libalmond/core/dispatch_messages.h"

namespace almond {

/// @returns true if the caller declared the task's resource needs; only such a
///   task can be too large to run beside others
inline bool HasSizes(const task& work) {
  return work.size.cpu_milli > 0 || work.size.memory_mib > 0;
}

/// State that an entry keeps for one agent, across reconnects.
struct agent_record {
  /// Limit of the number of names in `abandoned`. Answers to names beyond it
  /// are not acknowledged; the agent drops those names when its own retention
  /// period ends.
  static constexpr std::size_t kMaxAbandoned = 4096;

  announce_message announced;
  bool evacuated = false;       ///< its data centre is evacuated
  std::optional<link_id> link;  ///< empty while disconnected
  link_id newest_link;          ///< most recently accepted connection
  steady_time disconnected_at;  ///< when the last connection ended
  std::uint32_t sent_backlog = 0;
  bool sent_overloaded = false;
  endpoint_health health;
  /// Names of answered tasks whose answers have not been acknowledged to the
  /// agent yet.
  std::vector<task_name> unacknowledged;
  /// Tasks without a caller's submission id that were abandoned at this agent;
  /// their answers may still arrive.
  std::unordered_set<task_name> abandoned;
  /// Size of the last task that did not fit. No task of at least this size is
  /// sent before `unfit_until`.
  task_size unfit_size;
  steady_time unfit_until;

  void AddAbandoned(const task_name& name) {
    if (abandoned.size() < kMaxAbandoned) abandoned.insert(name);
  }
  /// Handles an answer to a task that is no longer in flight here.
  void OnLateAnswer(const task_name& name) {
    if (abandoned.erase(name) > 0) unacknowledged.push_back(name);
  }
  /// @returns true if the agent may hold grants for this entry
  bool Usable() const {
    return link && !announced.leaving && announced.slots > 0 &&
           !announced.service.Empty();
  }
  /// @returns true if tasks may be sent to the agent
  bool TakesStarts() const { return Usable() && !evacuated; }
  /// @returns true if the whole endpoint is large enough; an announced size of
  ///   0 means no limit
  bool Fits(const task_size& size) const {
    return (announced.cpu_milli == 0 ||
            size.cpu_milli <= announced.cpu_milli) &&
           (announced.memory_mib == 0 ||
            size.memory_mib <= announced.memory_mib);
  }
  /// @returns true if the endpoint is large enough and has not recently failed
  ///   to fit a task of at most this size
  bool FitsNow(const task_size& size, steady_time now) const {
    const bool refused = unfit_until > now &&
                         size.cpu_milli >= unfit_size.cpu_milli &&
                         size.memory_mib >= unfit_size.memory_mib;
    return Fits(size) && !refused;
  }
};

/// Address of a connected agent for queries about a whole submission.
struct connected_agent {
  link_id link;
  agent_id agent;
  incarnation_id incarnation;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_AGENT_RECORD_H_
