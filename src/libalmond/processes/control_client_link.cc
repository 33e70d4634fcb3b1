#include "libalmond/processes/control_client_link.h"

#include <string>
#include <utility>

namespace almond {

control_client_link::control_client_link(event_loop& loop,
                                         const clock_interface& clock,
                                         metrics_registry& metrics,
                                         std::vector<socket_address> addresses,
                                         control_client::hooks callbacks,
                                         control_client_timing timing)
    : loop_(loop),
      clock_(clock),
      client_(clock, metrics, std::move(addresses),
              AddConnectionHooks(std::move(callbacks)), timing) {
  client_.Tick();
  tick_timer_ =
      loop_.Every(control_client::kTickPeriod, [this] { client_.Tick(); });
}

control_client::hooks control_client_link::AddConnectionHooks(
    control_client::hooks callbacks) {
  // The client dials only from Tick, so a dialer is never destroyed inside one
  // of its own callbacks.
  callbacks.dial = [this](const socket_address& address) {
    dialer_ = std::make_unique<peer_dialer>(
        loop_, clock_, address,
        peer_dialer::hooks{
            [this] { client_.OnConnected(); },
            [this](const frame& message) { client_.OnFrame(message); },
            [this](const std::string& /*reason*/) { client_.OnClosed(); },
            [this] { client_.OnConnectFailed(); }});
  };
  callbacks.send = [this](const frame& message) { dialer_->Send(message); };
  return callbacks;
}

}  // namespace almond
