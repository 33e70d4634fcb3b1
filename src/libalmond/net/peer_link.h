#ifndef ALMOND_NET_PEER_LINK_H_
#define ALMOND_NET_PEER_LINK_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "libalmond/core/clock.h"
#include "libalmond/core/frame.h"
#include "libalmond/core/socket_address.h"
#include "libalmond/net/connection_budget.h"
#include "libalmond/net/event_loop.h"

struct bufferevent;

namespace almond {

/// Timing of the detection of dead peers and of reconnects.
struct link_timing {
  milliseconds ping_period{1000};
  /// Time without received bytes after which the link is closed.
  milliseconds receive_timeout{3000};
  /// Delay before the next connection attempt, after a link has ended or an
  /// attempt has failed.
  milliseconds reconnect_delay{200};
  /// Time after which a connection attempt is given up, unless
  /// `receive_timeout` is shorter.
  milliseconds connect_timeout{1000};
};

/// A connection between two processes of the system that carries frames.
/// Detects dead connections by pings and a receive timeout.
class peer_link : public std::enable_shared_from_this<peer_link> {
 public:
  static constexpr milliseconds kReceiveTimeout = link_timing().receive_timeout;
  /// Unsent bytes above which the peer counts as not reading and is
  /// disconnected.
  static constexpr std::size_t kMaxUnsentBytes = std::size_t{64} << 20U;

  struct hooks {
    /// Called for each frame.
    std::function<void(const frame&)> on_frame;
    /// Called once with the reason when the connection has ended; not called
    /// after Close.
    std::function<void(const std::string&)> on_close;
  };

  /// Takes over a connected socket.
  /// @param loop the process's event loop
  /// @param clock source of time for the receive timeout
  /// @param descriptor non-blocking socket; owned by the link
  /// @param timing should be the same at both ends
  static std::shared_ptr<peer_link> Create(event_loop& loop,
                                           const clock_interface& clock,
                                           int descriptor,
                                           link_timing timing = {});
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /// Sets the budget that the link's input is counted in.
  /// @param number of this connection; removed at the link's end
  void SetBudget(std::shared_ptr<connection_budget> budget,
                 connection_budget::connection_number number) {
    budget_ = std::move(budget);
    number_ = number;
  }
  /// Ends the connection with a call of on_close.
  void Abort(const std::string& reason) { Fail(reason); }
  /// Sets the callbacks and starts reading.
  void Start(hooks callbacks);
  /// Sends a frame; ignored after the end of the connection.
  void Send(const frame& message);
  /// Ends the connection without a callback.
  void Close();
  bool Open() const { return stream_ != nullptr; }

 private:
  peer_link(event_loop& loop, const clock_interface& clock, int descriptor,
            link_timing timing);
  static void OnRead(bufferevent* stream, void* argument);
  static void OnEvent(bufferevent* stream, short events, void* argument);
  void ReadFrames();
  void ReportInput();
  void Receive(const frame& message);
  void CheckLiveness();
  void Fail(const std::string& reason);

  event_loop& loop_;
  const clock_interface& clock_;
  link_timing timing_;
  bufferevent* stream_;
  hooks hooks_;
  steady_time last_received_;
  event_handle ping_timer_;
  std::shared_ptr<connection_budget> budget_;
  connection_budget::connection_number number_ = 0;
  std::size_t reported_ = 0;
};

}  // namespace almond

#endif  // ALMOND_NET_PEER_LINK_H_
