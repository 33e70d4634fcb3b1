#ifndef ALMOND_PROCESSES_ENTRY_LINKS_H_
#define ALMOND_PROCESSES_ENTRY_LINKS_H_

#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "libalmond/core/metrics.h"
#include "libalmond/net/peer_listener.h"
#include "libalmond/processes/frame_counters.h"
#include "libalmond/processes/link_codecs.h"

namespace almond {

/// Accepts the connections of agents to an entry. Connections are numbered in
/// the order in which they were accepted.
/// @tparam Codec codec of the messages on these connections, see link_codecs.h
template <typename Codec>
class entry_links_of {
 public:
  struct hooks {
    std::function<void(link_id, const typename Codec::from_agent&)> on_message;
    std::function<void(link_id)> on_closed;
  };

  /// Maximum time from the accept to the agent's first announcement. The
  /// connection is closed after it, so that no other program can hold it open.
  static constexpr milliseconds kAnnounceTimeout{5000};

  entry_links_of(event_loop& loop, const clock_interface& clock,
                 metrics_registry& metrics, hooks callbacks,
                 milliseconds announce_timeout = kAnnounceTimeout,
                 link_timing timing = {});

  /// Limits the links and what they hold. Must be called before Listen.
  void SetBudget(std::shared_ptr<connection_budget> budget) {
    listener_.SetBudget(std::move(budget), listener_kind::peer);
  }
  /// @returns false if the address cannot be bound
  bool Listen(const socket_address& address) {
    return listener_.Listen(address);
  }
  const socket_address& Address() const { return listener_.Address(); }
  /// Sends a message; drops it if the connection is closed.
  void Send(link_id link, const typename Codec::from_entry& message);
  void SendToAll(const typename Codec::from_entry& message);
  /// Closes a connection without calling on_closed.
  void Close(link_id link);
  std::size_t size() const { return links_.size(); }

 private:
  struct accepted_link {
    std::shared_ptr<peer_link> link;
    event_handle announce_timer;  ///< active until the first announcement
  };

  void CloseUnannounced(link_id link);
  void OnAccept(const std::shared_ptr<peer_link>& link);
  void OnFrame(link_id link, const frame& encoded);

  event_loop& loop_;
  metrics_registry& metrics_;
  hooks hooks_;
  frame_counters sent_;
  frame_counters received_;
  peer_listener listener_;
  std::map<link_id, accepted_link> links_;
  milliseconds announce_timeout_;
  link_id last_link_;
};

using entry_links = entry_links_of<slot_link_codec>;

}  // namespace almond

#endif  // ALMOND_PROCESSES_ENTRY_LINKS_H_
