#ifndef ALMOND_NET_PEER_DIALER_H_
#define ALMOND_NET_PEER_DIALER_H_

#include <functional>
#include <memory>

#include "libalmond/net/event_loop.h"
#include "libalmond/net/peer_link.h"

namespace almond {

/// Maintains a connection to one address; reconnects after each failure.
class peer_dialer {
 public:
  struct hooks {
    std::function<void()> on_connected;
    std::function<void(const frame&)> on_frame;
    /// Called with the reason when an established connection has ended.
    std::function<void(const std::string&)> on_closed;
    /// Called when an attempt has failed; may be empty. The dialer must not be
    /// destroyed during the call.
    std::function<void()> on_connect_failed = {};
  };

  peer_dialer(event_loop& loop, const clock_interface& clock,
              socket_address address, hooks callbacks, link_timing timing = {});
  ~peer_dialer();
  peer_dialer(const peer_dialer&) = delete;
  peer_dialer& operator=(const peer_dialer&) = delete;

  /// Sends a frame; ignored while there is no connection.
  void Send(const frame& message);
  /// Closes the connection, calls on_closed and reconnects. May be called from
  /// on_frame; no further frame of the connection is delivered.
  /// @param reason passed to on_closed
  void Close(const std::string& reason);
  bool Connected() const { return link_ != nullptr; }
  const socket_address& Address() const { return address_; }

 private:
  void Connect();
  void ScheduleReconnect();
  void OnConnectFailed();
  void OnConnected(int descriptor);

  event_loop& loop_;
  const clock_interface& clock_;
  socket_address address_;
  hooks hooks_;
  link_timing timing_;
  std::shared_ptr<peer_link> link_;
  bufferevent* connecting_ = nullptr;
  event_handle reconnect_timer_;
};

}  // namespace almond

#endif  // ALMOND_NET_PEER_DIALER_H_
