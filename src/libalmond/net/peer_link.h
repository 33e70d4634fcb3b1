#ifndef ALMOND_NET_PEER_LINK_H_
#define ALMOND_NET_PEER_LINK_H_

#include <functional>
#include <memory>
#include <string>

#include "libalmond/core/clock.h"
#include "libalmond/core/frame.h"
#include "libalmond/core/socket_address.h"
#include "libalmond/net/event_loop.h"

struct bufferevent;

namespace almond {

/// Times by which a link finds that its peer is silent.
struct link_timing {
  milliseconds ping_period{1000};
  /// Time without a byte from the peer after which the link is given up.
  milliseconds silence_limit{3000};
  /// Time from the end of a link to the next attempt to open it.
  milliseconds redial_delay{200};
};

/// A connection between two processes of the system that carries frames. Finds
/// silent connections by pings with a deadline.
class peer_link : public std::enable_shared_from_this<peer_link> {
 public:
  static constexpr milliseconds kSilenceLimit = link_timing().silence_limit;
  /// Unsent bytes at which a peer that does not read is disconnected.
  static constexpr std::size_t kMaxUnsentBytes = std::size_t{64} << 20U;

  struct hooks {
    /// Called for each frame.
    std::function<void(const frame&)> on_frame;
    /// Called once when the connection has ended, with the reason; not called
    /// after Close.
    std::function<void(const std::string&)> on_close;
  };

  /// Takes over a connected socket.
  /// @param loop the process's loop
  /// @param clock source of time for the silence limit
  /// @param descriptor non-blocking socket; closed with the link
  /// @param limits both ends should have the same
  static std::shared_ptr<peer_link> Create(event_loop& loop,
                                           const clock_interface& clock,
                                           int descriptor,
                                           link_timing limits = {});
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /// Sets the callbacks and starts to read.
  void Start(hooks callbacks);
  /// Sends a frame; ignored after the end of the connection.
  void Send(const frame& message);
  /// Ends the connection without a callback.
  void Close();
  bool Open() const { return stream_ != nullptr; }

 private:
  peer_link(event_loop& loop, const clock_interface& clock, int descriptor,
            link_timing limits);
  static void OnRead(bufferevent* stream, void* argument);
  static void OnEvent(bufferevent* stream, short events, void* argument);
  void ReadFrames();
  void Receive(const frame& message);
  void CheckSilence();
  void Fail(const std::string& reason);

  event_loop& loop_;
  const clock_interface& clock_;
  link_timing limits_;
  bufferevent* stream_;
  hooks hooks_;
  steady_time last_received_;
  event_handle ping_timer_;
};

}  // namespace almond

#endif  // ALMOND_NET_PEER_LINK_H_
