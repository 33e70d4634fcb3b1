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

peer_listener::~peer_listener() {
  Close();
  if (budget_) budget_->RemoveListener(listener_number_);
}

void peer_listener::SetBudget(std::shared_ptr<connection_budget> budget,
                              listener_kind kind) {
  budget_ = std::move(budget);
  listener_number_ = budget_->AddListener(
      kind, [this](connection_budget::connection_number number) {
        const auto found = links_.find(number);
        if (found == links_.end()) return;
        const auto link = found->second.lock();
        links_.erase(found);
        if (link) link->Abort("closed to keep a limit on connections");
      });
}

void peer_listener::Accept(int descriptor) {
  const auto link = peer_link::Create(loop_, clock_, descriptor, timing_);
  if (budget_) {
    const auto number = budget_->Add(listener_number_);
    link->SetBudget(budget_, number);
    std::erase_if(links_,
                  [](const auto& entry) { return entry.second.expired(); });
    links_[number] = link;
  }
  on_accept_(link);
  if (budget_) budget_->Enforce();
}

bool peer_listener::Listen(const socket_address& address) {
  const sockaddr_in raw = ToSockaddr(address);
  const auto accept = [](evconnlistener* /*listener*/,
                         evutil_socket_t descriptor, sockaddr* /*peer*/,
                         int /*length*/, void* argument) {
    auto* self = static_cast<peer_listener*>(argument);
    self->Accept(descriptor);
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
