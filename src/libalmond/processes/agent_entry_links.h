#ifndef ALMOND_PROCESSES_AGENT_ENTRY_LINKS_H_
#define ALMOND_PROCESSES_AGENT_ENTRY_LINKS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "libalmond/core/metrics.h"
#include "libalmond/net/peer_dialer.h"
#include "libalmond/processes/frame_counters.h"
#include "libalmond/processes/link_codecs.h"

namespace almond {

/// An agent's connections to its entries. Each connection has its own id, so
/// that messages for an older connection to the same entry are dropped.
/// @tparam Codec codec of the messages on these connections, see link_codecs.h
template <typename Codec>
class agent_entry_links_of {
 public:
  struct hooks {
    std::function<void(link_id)> on_connected;
    std::function<void(link_id)> on_closed;
    std::function<void(link_id, const typename Codec::from_entry&)> on_message;
  };

  agent_entry_links_of(event_loop& loop, const clock_interface& clock,
                       metrics_registry& metrics, hooks callbacks,
                       link_timing timing = {})
      : loop_(loop),
        clock_(clock),
        metrics_(metrics),
        hooks_(std::move(callbacks)),
        timing_(timing),
        sent_(metrics, "out"),
        received_(metrics, "in") {}

  /// Dials these entries and stops dialling all others. Connections that are
  /// open are kept, because a directory that was just rebuilt lists only some
  /// of the live entries.
  void SetEntries(const std::vector<socket_address>& entries);
  /// Closes the connection to an entry and stops dialling it; calls on_closed.
  /// Must not be called from a hook.
  void Close(const socket_address& entry);
  /// @returns the open connection to an entry, or 0
  link_id LinkTo(const socket_address& entry) const;
  /// Sends a message; drops it if the connection is closed.
  void Send(link_id link, const typename Codec::from_agent& message);
  /// @returns the open connections
  std::vector<link_id> Links() const;
  /// @returns number of open connections
  std::size_t Connected() const { return by_link_.size(); }

 private:
  struct entry_connection {
    link_id link;  ///< new for each connection; 0 while not connected
    std::unique_ptr<peer_dialer> dialer;
  };

  void Dial(const socket_address& address);
  void OnConnected(const socket_address& address);
  void OnFrame(const socket_address& address, const frame& encoded);
  void OnClosed(const socket_address& address, const std::string& reason);
  void EndLink(entry_connection& connection);

  event_loop& loop_;
  const clock_interface& clock_;
  metrics_registry& metrics_;
  hooks hooks_;
  link_timing timing_;
  frame_counters sent_;
  frame_counters received_;
  std::map<socket_address, entry_connection> entries_;
  std::unordered_map<link_id, peer_dialer*> by_link_;
  link_id last_link_;
};

using agent_entry_links = agent_entry_links_of<slot_link_codec>;

}  // namespace almond

#endif  // ALMOND_PROCESSES_AGENT_ENTRY_LINKS_H_
