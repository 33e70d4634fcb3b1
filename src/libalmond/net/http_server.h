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

/// HTTP server based on evhttp. Handlers may respond asynchronously.
class http_server {
 public:
  /// Larger bodies are refused by evhttp before a handler is called; handlers
  /// have their own, smaller limits.
  static constexpr std::size_t kMaxBodyBytes = std::size_t{64} << 20U;
  static constexpr std::size_t kMaxHeaderBytes = std::size_t{32} << 10U;
  /// A connection without received bytes for this time is closed. This also
  /// ends requests whose headers arrive too slowly.
  static constexpr std::chrono::seconds kIdleTimeout{30};

  /// Sends the response; must be called once. The response is dropped if the
  /// client or the server is gone.
  using responder = std::function<void(const http_response&)>;
  using handler = std::function<void(const http_request&, responder)>;
  /// Called with the number of a request whose client closed the connection
  /// before its response.
  using disconnect_hook = std::function<void(std::uint64_t)>;

  /// @param idle_timeout see kIdleTimeout
  http_server(event_loop& loop, handler handle,
              std::chrono::seconds idle_timeout = kIdleTimeout);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Sets the hook, and with it enables the detection of clients that
  /// disconnect during a request. A request whose client has disconnected
  /// before it is read is not handled then. Must be called before Listen.
  void SetDisconnectHook(disconnect_hook on_disconnect) {
    on_disconnect_ = std::move(on_disconnect);
  }
  /// @param address IP and port; port 0 selects a free port
  /// @returns false if the address cannot be bound
  bool Listen(const socket_address& address);
  const socket_address& Address() const { return address_; }
  /// Sends `Connection: close` with each further response.
  void CloseConnections() { *closing_ = true; }
  /// Stops accepting connections. Requests in progress are still answered, with
  /// `Connection: close`.
  void StopListening();
  /// @returns number of requests without a response
  std::size_t Pending() const { return *pending_; }

 private:
  static void OnRequest(evhttp_request* request, void* argument);
  void Handle(evhttp_request* request);
  void Watch(evhttp_request* request, std::uint64_t number);

  event_loop& loop_;
  handler handle_;
  disconnect_hook on_disconnect_;
  std::uint64_t last_number_ = 0;
  /// Read events of connections with a request in progress, by the number
  /// of the request.
  std::map<std::uint64_t, event_handle> watches_;
  evhttp* server_;
  evhttp_bound_socket* socket_ = nullptr;
  socket_address address_;
  std::shared_ptr<std::size_t> pending_ = std::make_shared<std::size_t>(0);
  /// False once the server, and with it its requests, is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::shared_ptr<bool> closing_ = std::make_shared<bool>(false);
};

}  // namespace almond

#endif  // ALMOND_NET_HTTP_SERVER_H_
