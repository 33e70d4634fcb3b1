#include "libalmond/net/peer_listener.h"

#include <arpa/inet.h>
#include <event2/listener.h>

#include <utility>

#include "libalmond/net/socket_util.h"

namespace almond {

peer_listener::peer_listener(event_loop& loop, const clock_interface& clock,
                             accept_hook on_accept, link_timing timing)
    : loop_(loop),
      clock_(clock),
      on_accept_(std::move(on_accept)),
      timing_(timing) {}

peer_listener::~peer_listener() { Close(); }

bool peer_listener::Listen(const socket_address& address) {
  const sockaddr_in raw = ToSockaddr(address);
  const auto accept = [](evconnlistener* /*listener*/,
                         evutil_socket_t descriptor, sockaddr* /*peer*/,
                         int /*length*/, void* argument) {
    auto* self = static_cast<peer_listener*>(argument);
    self->on_accept_(peer_link::Create(self->loop_, self->clock_, descriptor,
                                       self->timing_));
  };
  listener_ = evconnlistener_new_bind(
      loop_.Base(), accept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      kListenBacklog, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
  if (listener_ == nullptr) return false;
  address_ = {address.ip, BoundPort(evconnlistener_get_fd(listener_))};
  return true;
}

void peer_listener::Close() {
  if (listener_ == nullptr) return;
  evconnlistener_free(std::exchange(listener_, nullptr));
}

}  // namespace almond
