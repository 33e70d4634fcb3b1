#ifndef ALMOND_PROCESSES_CONTROL_CLIENT_LINK_H_
#define ALMOND_PROCESSES_CONTROL_CLIENT_LINK_H_

#include <memory>
#include <vector>

#include "libalmond/net/event_loop.h"
#include "libalmond/net/peer_dialer.h"
#include "libalmond/processes/control_client.h"

namespace almond {

/// Runs a control client on the event loop: provides its connection and calls
/// its Tick.
class control_client_link {
 public:
  /// Starts dialling immediately.
  /// @param loop the process's loop; outlives the link
  /// @param clock source of time; outlives the link
  /// @param metrics outlives the link
  /// @param addresses of the control processes, at least one
  /// @param callbacks of the client; `dial` and `send` are set here
  control_client_link(event_loop& loop, const clock_interface& clock,
                      metrics_registry& metrics,
                      std::vector<socket_address> addresses,
                      control_client::hooks callbacks,
                      control_client_timing timing = {});
  control_client_link(const control_client_link&) = delete;
  control_client_link& operator=(const control_client_link&) = delete;

  control_client& Client() { return client_; }

 private:
  control_client::hooks AddConnectionHooks(control_client::hooks callbacks);

  event_loop& loop_;
  const clock_interface& clock_;
  std::unique_ptr<peer_dialer> dialer_;
  control_client client_;
  event_handle tick_timer_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_CONTROL_CLIENT_LINK_H_
