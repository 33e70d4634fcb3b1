#ifndef ALMOND_CONTROLLERS_ENTRY_AGENT_RECORD_H_
#define ALMOND_CONTROLLERS_ENTRY_AGENT_RECORD_H_

#include <optional>
#include <vector>

#include "libalmond/controllers/entry/endpoint_health.h"
#include "libalmond/core/dispatch_messages.h"

namespace almond {

/// What an entry knows of one agent. The record outlives a connection.
struct agent_record {
  announce_message announced;
  std::optional<link_id> link;  ///< empty while there is no connection
  link_id newest_link;          ///< newest connection so far
  steady_time closed;           ///< end of the last connection
  std::uint32_t told_backlog = 0;
  bool told_overloaded = false;
  endpoint_health health;
  /// Answered names that the agent has not been told to forget yet.
  std::vector<task_name> forgets;

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
};

/// A connected agent, for queries about a whole submission.
struct connected_agent {
  link_id link;
  agent_id agent;
  incarnation_id incarnation;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_AGENT_RECORD_H_
