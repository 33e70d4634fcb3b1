#ifndef ALMOND_CONTROLLERS_CONTROL_WAITING_HEARTBEATS_H_
#define ALMOND_CONTROLLERS_CONTROL_WAITING_HEARTBEATS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/control_messages.h"

namespace almond {

/// A heartbeat that is to be answered again.
struct waiting_heartbeat {
  heartbeat_message message;
  std::function<void(const control_reply&)> on_reply;
  steady_time received_at;
};

/// The latest heartbeats of processes that wait for news: for a leader, or for
/// entries that the leader has not heard from yet.
class waiting_heartbeats {
 public:
  /// Further processes are told the news at their next heartbeats.
  static constexpr std::size_t kMaxProcesses = 10000;

  /// Replaces an earlier heartbeat of the same process.
  void Add(waiting_heartbeat heartbeat) {
    const key process{heartbeat.message.role, heartbeat.message.id};
    if (by_process_.size() >= kMaxProcesses && !by_process_.contains(process)) {
      return;
    }
    by_process_.insert_or_assign(process, std::move(heartbeat));
  }

  /// Removes all heartbeats.
  /// @returns those received at `oldest` or later
  std::vector<waiting_heartbeat> Take(steady_time oldest) {
    std::vector<waiting_heartbeat> taken;
    for (auto& [process, heartbeat] : std::exchange(by_process_, {})) {
      if (heartbeat.received_at >= oldest) {
        taken.push_back(std::move(heartbeat));
      }
    }
    return taken;
  }

  void Clear() { by_process_.clear(); }
  std::size_t Size() const { return by_process_.size(); }

 private:
  using key = std::pair<process_role, std::string>;

  std::map<key, waiting_heartbeat> by_process_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_WAITING_HEARTBEATS_H_
