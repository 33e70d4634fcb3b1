#ifndef ALMOND_NET_HTTP_SERVER_H_
#define ALMOND_NET_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "libalmond/core/socket_address.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_message.h"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace almond {

/// HTTP server over evhttp. Handlers may answer later.
class http_server {
 public:
  /// Bodies above this are refused by evhttp itself, before a handler sees
  /// them; handlers have their own, smaller limits.
  static constexpr std::size_t kMaxBodyBytes = std::size_t{64} << 20U;
  static constexpr std::size_t kMaxHeaderBytes = std::size_t{32} << 10U;
  /// A connection that sends nothing for so long is closed. This also ends
  /// requests whose headers come too slowly.
  static constexpr std::chrono::seconds kIdleTimeout{30};

  /// Sends the response; must be called once. It is dropped if the client or
  /// the server is gone.
  using responder = std::function<void(const http_response&)>;
  using handler = std::function<void(const http_request&, responder)>;
  /// Called with the number of a request whose client closed the connection
  /// before its response.
  using abandon_hook = std::function<void(std::uint64_t)>;

  /// @param idle_timeout see kIdleTimeout
  http_server(event_loop& loop, handler handle,
              std::chrono::seconds idle_timeout = kIdleTimeout);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Watches the connections of requests in progress; to be called before
  /// Listen.
  void SetDisconnectHook(abandon_hook on_abandoned) {
    on_abandoned_ = std::move(on_abandoned);
  }
  /// @param address IP and port; port 0 takes a free one
  /// @returns false if the address cannot be bound
  bool Listen(const socket_address& address);
  const socket_address& Address() const { return address_; }
  /// Tells clients with each response to close the connection.
  void CloseConnections() { *closing_ = true; }
  /// Accepts no more connections; requests in progress go on, and their
  /// responses tell the client to close the connection.
  void StopListening();
  /// @returns number of requests that have no response yet
  std::size_t Pending() const { return *pending_; }

 private:
  static void OnRequest(evhttp_request* request, void* argument);
  void Handle(evhttp_request* request);
  void Watch(evhttp_request* request, std::uint64_t number);

  event_loop& loop_;
  handler handle_;
  abandon_hook on_abandoned_;
  std::uint64_t last_number_ = 0;
  /// Watches of requests in progress by number.
  std::map<std::uint64_t, event_handle> watches_;
  evhttp* server_;
  evhttp_bound_socket* socket_ = nullptr;
  socket_address address_;
  std::shared_ptr<std::size_t> pending_ = std::make_shared<std::size_t>(0);
  /// False once the server is destroyed, and its requests with it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::shared_ptr<bool> closing_ = std::make_shared<bool>(false);
};

}  // namespace almond

#endif  // ALMOND_NET_HTTP_SERVER_H_
