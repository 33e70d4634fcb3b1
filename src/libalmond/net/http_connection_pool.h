#ifndef ALMOND_NET_HTTP_CONNECTION_POOL_H_
#define ALMOND_NET_HTTP_CONNECTION_POOL_H_

#include <deque>
#include <memory>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/socket_address.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_client.h"
#include "libalmond/net/http_message.h"

struct evhttp_connection;

namespace almond {

/// Sends requests to one server over persistent connections. Only for requests
/// that may be sent twice: a request on a connection that the server has just
/// closed ends as `lost`.
///
/// A burst of requests is sent one after the other over few connections, since
/// a new connection costs the server more than the wait. Requests on stalled
/// connections do not block others.
class http_connection_pool {
 public:
  /// Limit of requests in flight; further requests are queued.
  static constexpr std::size_t kMaxInFlight = 2;
  /// A request in flight for this time has stalled and no longer counts towards
  /// kMaxInFlight.
  static constexpr milliseconds kStallTimeout{20};

  /// @param clock source of time; outlives the pool
  http_connection_pool(event_loop& loop, const clock_interface& clock,
                       socket_address address);
  ~http_connection_pool();
  http_connection_pool(const http_connection_pool&) = delete;
  http_connection_pool& operator=(const http_connection_pool&) = delete;

  /// @param request method, path, headers and body
  /// @param timeout limit on the time without progress; the connection is then
  ///   closed, since it may be dead
  /// @param on_end called once, never from within this call; not called after
  ///   the destruction of the pool
  void Send(const http_request& request, milliseconds timeout,
            http_call_hook on_end);

  const socket_address& Address() const { return address_; }

 private:
  struct call;
  struct queued_request {
    http_request request;
    milliseconds timeout{0};
    http_call_hook on_end;
  };

  std::size_t InFlight() const;
  void SendQueued();
  void Begin(const queued_request& next);
  std::shared_ptr<evhttp_connection> TakeConnection();
  void Finish(call* ended, bool reusable, http_call_result result);

  event_loop& loop_;
  const clock_interface& clock_;
  socket_address address_;
  std::vector<std::shared_ptr<evhttp_connection>> idle_;
  std::vector<std::unique_ptr<call>> calls_;
  std::deque<queued_request> queue_;
  event_handle stall_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace almond

#endif  // ALMOND_NET_HTTP_CONNECTION_POOL_H_
