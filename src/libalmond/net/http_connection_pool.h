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

/// Sends requests to one server over connections that it keeps open. For
/// servers at which a request may be sent twice: a request that meets a
/// connection that the server has just closed ends as `lost`.
///
/// Few connections carry a burst of requests one after the other, since each
/// new one costs the server more than the wait. Requests on connections that
/// have stalled do not hold others up.
class http_connection_pool {
 public:
  /// Requests in progress at which others wait for a connection.
  static constexpr std::size_t kMaxBusy = 2;
  /// A request in progress for so long has stalled and is not counted.
  static constexpr milliseconds kStallTime{20};

  /// @param clock source of time; outlives the pool
  http_connection_pool(event_loop& loop, const clock_interface& clock,
                       socket_address address);
  ~http_connection_pool();
  http_connection_pool(const http_connection_pool&) = delete;
  http_connection_pool& operator=(const http_connection_pool&) = delete;

  /// @param request method, path, headers and body
  /// @param timeout longest time without progress; the connection is then given
  ///   up, since it may have gone silent for good
  /// @param on_end called once, never from within this call; not called after
  ///   the pool's end
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

  std::size_t Busy() const;
  void SendQueued();
  void Begin(const queued_request& next);
  evhttp_connection* TakeConnection();
  void Finish(call* ended, bool reusable, http_call_result result);

  event_loop& loop_;
  const clock_interface& clock_;
  socket_address address_;
  std::vector<evhttp_connection*> idle_;
  std::vector<std::unique_ptr<call>> calls_;
  std::deque<queued_request> queue_;
  event_handle stall_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace almond

#endif  // ALMOND_NET_HTTP_CONNECTION_POOL_H_
