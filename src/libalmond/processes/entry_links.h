#ifndef ALMOND_PROCESSES_ENTRY_LINKS_H_
#define ALMOND_PROCESSES_ENTRY_LINKS_H_

#include <functional>
#include <map>
#include <memory>

#include "libalmond/core/metrics.h"
#include "libalmond/net/peer_listener.h"
#include "libalmond/processes/link_codecs.h"

namespace almond {

/// The connections of agents to an entry, numbered in the order in which they
/// were accepted.
/// @tparam Codec the messages that they carry, see link_codecs.h
template <typename Codec>
class entry_links_of {
 public:
  struct hooks {
    std::function<void(link_id, const typename Codec::from_agent&)> on_message;
    std::function<void(link_id)> on_closed;
  };

  /// Time from the accept to the agent's first announcement. A connection
  /// without one is closed, so that strangers cannot hold connections.
  static constexpr milliseconds kAnnounceLimit{5000};

  entry_links_of(event_loop& loop, const clock_interface& clock,
                 metrics_registry& metrics, hooks callbacks,
                 milliseconds announce_limit = kAnnounceLimit,
                 link_timing limits = {});

  /// @returns false if the address cannot be bound
  bool Listen(const socket_address& address) {
    return listener_.Listen(address);
  }
  const socket_address& Address() const { return listener_.Address(); }
  /// Sends a message; ignored if the connection has ended.
  void Send(link_id link, const typename Codec::from_entry& message);
  void SendToAll(const typename Codec::from_entry& message);
  /// Ends a connection without a callback.
  void Close(link_id link);
  std::size_t size() const { return links_.size(); }

 private:
  struct accepted_link {
    std::shared_ptr<peer_link> link;
    event_handle announce_timer;  ///< until the first announcement
  };

  void CloseUnannounced(link_id link);
  void OnAccept(const std::shared_ptr<peer_link>& link);
  void OnFrame(link_id link, const frame& encoded);

  event_loop& loop_;
  metrics_registry& metrics_;
  hooks hooks_;
  peer_listener listener_;
  std::map<link_id, accepted_link> links_;
  milliseconds announce_limit_;
  link_id last_link_;
};

using entry_links = entry_links_of<slot_link_codec>;

}  // namespace almond

#endif  // ALMOND_PROCESSES_ENTRY_LINKS_H_
