#include "libalmond/net/peer_dialer.h"

#include <event2/bufferevent.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "libalmond/net/socket_util.h"

namespace almond {

peer_dialer::peer_dialer(event_loop& loop, const clock_interface& clock,
                         socket_address address, hooks callbacks,
                         link_timing timing)
    : loop_(loop),
      clock_(clock),
      address_(std::move(address)),
      hooks_(std::move(callbacks)),
      timing_(timing) {
  reconnect_timer_ = loop_.After(milliseconds(0), [this] { Connect(); });
}

peer_dialer::~peer_dialer() {
  if (connecting_ != nullptr) {
    close(bufferevent_getfd(connecting_));
    bufferevent_free(connecting_);
  }
  if (link_) link_->Close();
}

void peer_dialer::Send(const frame& message) {
  if (link_) link_->Send(message);
}

void peer_dialer::Close(const std::string& reason) {
  if (!link_) return;
  const std::shared_ptr<peer_link> closed = std::exchange(link_, nullptr);
  closed->Close();
  ScheduleReconnect();
  hooks_.on_closed(reason);
}

void peer_dialer::Connect() {
  // No BEV_OPT_CLOSE_ON_FREE, so that the connected socket can be passed to a
  // link.
  connecting_ = bufferevent_socket_new(loop_.Base(), -1, 0);
  const auto on_event = [](bufferevent* stream, short events, void* argument) {
    auto* self = static_cast<peer_dialer*>(argument);
    const int descriptor = bufferevent_getfd(stream);
    bufferevent_free(std::exchange(self->connecting_, nullptr));
    if ((events & BEV_EVENT_CONNECTED) != 0) {
      self->OnConnected(descriptor);
    } else {
      if (descriptor >= 0) close(descriptor);
      self->OnConnectFailed();
    }
  };
  bufferevent_setcb(connecting_, nullptr, nullptr, on_event, this);
  const milliseconds limit =
      std::min(timing_.connect_timeout, timing_.receive_timeout);
  const timeval timeout = {limit.count() / 1000, limit.count() % 1000 * 1000};
  bufferevent_set_timeouts(connecting_, nullptr, &timeout);
  const sockaddr_in raw = ToSockaddr(address_);
  if (bufferevent_socket_connect(connecting_,
                                 reinterpret_cast<const sockaddr*>(&raw),
                                 sizeof(raw)) != 0 &&
      connecting_ != nullptr) {
    bufferevent_free(std::exchange(connecting_, nullptr));
    OnConnectFailed();
  }
}

void peer_dialer::OnConnectFailed() {
  ScheduleReconnect();
  if (hooks_.on_connect_failed) hooks_.on_connect_failed();
}

void peer_dialer::ScheduleReconnect() {
  reconnect_timer_ =
      loop_.After(timing_.reconnect_delay, [this] { Connect(); });
}

void peer_dialer::OnConnected(int descriptor) {
  link_ = peer_link::Create(loop_, clock_, descriptor, timing_);
  link_->Start({[this](const frame& message) { hooks_.on_frame(message); },
                [this](const std::string& reason) {
                  link_.reset();
                  ScheduleReconnect();
                  hooks_.on_closed(reason);
                }});
  hooks_.on_connected();
}

}  // namespace almond
