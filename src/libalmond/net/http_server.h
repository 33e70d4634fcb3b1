#ifndef ALMOND_NET_HTTP_SERVER_H_
#define ALMOND_NET_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libalmond/core/socket_address.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_message.h"
#include "libalmond/net/http_server_connection.h"

struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace almond {

/// HTTP server based on evhttp. Handlers may respond asynchronously.
class http_server {
 public:
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
  /// @returns the response to a request that is refused before it is handled,
  ///   since the connections of the process hold too much memory
  using overload_hook = std::function<http_response(const http_request&)>;

  /// @param budget of the process, shared by its servers
  /// @param kind decides how many connections the server may have
  /// @param idle_timeout see kIdleTimeout
  http_server(event_loop& loop, handler handle,
              std::shared_ptr<connection_budget> budget,
              listener_kind kind = listener_kind::main,
              std::chrono::seconds idle_timeout = kIdleTimeout);
  /// Creates a server with a budget of its own and the default limits.
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
  /// Sets the response to requests that are refused before they are handled.
  void SetOverloadHook(overload_hook on_overload) {
    on_overload_ = std::move(on_overload);
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
  using connection_number = connection_budget::connection_number;

  static void OnRequest(evhttp_request* request, void* argument);
  static bufferevent* OnAccept(event_base* base, void* argument);
  static void OnAccepted(int descriptor, short events, void* argument);
  void Accept(bufferevent* stream);
  /// Completes the setup of the connections that were just accepted.
  void AttachAccepted();
  http_server_connection* Find(evhttp_request* request) const;
  void ScheduleCheck(connection_number number);
  void Check();
  void Sweep();
  void Close(connection_number number);
  void Handle(evhttp_request* request);
  void Respond(evhttp_request* request, const http_response& response,
               bool close_after);
  void Watch(evhttp_request* request, std::uint64_t number);

  event_loop& loop_;
  handler handle_;
  disconnect_hook on_disconnect_;
  std::uint64_t last_number_ = 0;
  /// Read events of connections with a request in progress, by the number
  /// of the request.
  std::map<std::uint64_t, event_handle> watches_;
  std::shared_ptr<connection_budget> budget_;
  connection_budget::listener_number listener_;
  overload_hook on_overload_;
  std::map<connection_number, std::unique_ptr<http_server_connection>>
      connections_;
  std::unordered_map<const evhttp_connection*, http_server_connection*>
      by_handle_;
  std::vector<connection_number> accepted_;
  /// Connections whose input is full.
  std::vector<connection_number> full_;
  event_handle check_timer_;
  event_handle sweep_timer_;
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
