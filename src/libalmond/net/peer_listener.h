#ifndef ALMOND_NET_PEER_LISTENER_H_
#define ALMOND_NET_PEER_LISTENER_H_

#include <functional>
#include <map>
#include <memory>

#include "libalmond/net/event_loop.h"
#include "libalmond/net/peer_link.h"

struct evconnlistener;

namespace almond {

/// Accepts connections from other processes of the system.
class peer_listener {
 public:
  using accept_hook = std::function<void(std::shared_ptr<peer_link>)>;

  /// @param on_accept called with each new link; must call Start on it
  peer_listener(event_loop& loop, const clock_interface& clock,
                accept_hook on_accept, link_timing timing = {});
  ~peer_listener();
  peer_listener(const peer_listener&) = delete;
  peer_listener& operator=(const peer_listener&) = delete;

  /// Limits the number of links and what they hold. Must be called before
  /// Listen.
  void SetBudget(std::shared_ptr<connection_budget> budget, listener_kind kind);
  /// @param address IP and port; port 0 selects a free port
  /// @returns false if the address cannot be bound
  bool Listen(const socket_address& address);
  /// @returns the bound address
  const socket_address& Address() const { return address_; }
  void Close();

 private:
  void Accept(int descriptor);

  event_loop& loop_;
  const clock_interface& clock_;
  accept_hook on_accept_;
  link_timing timing_;
  evconnlistener* listener_ = nullptr;
  std::shared_ptr<connection_budget> budget_;
  connection_budget::listener_number listener_number_ = 0;
  /// Accepted links, by their number in the budget.
  std::map<connection_budget::connection_number, std::weak_ptr<peer_link>>
      links_;
  socket_address address_;
};

}  // namespace almond

#endif  // ALMOND_NET_PEER_LISTENER_H_
