#ifndef ALMOND_NET_HTTP_POOL_H_
#define ALMOND_NET_HTTP_POOL_H_

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
class http_pool {
 public:
  http_pool(event_loop& loop, socket_address address);
  ~http_pool();
  http_pool(const http_pool&) = delete;
  http_pool& operator=(const http_pool&) = delete;

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

  evhttp_connection* TakeConnection();
  void Finish(call* ended, bool reusable, http_call_result result);

  event_loop& loop_;
  socket_address address_;
  std::vector<evhttp_connection*> idle_;
  std::vector<std::unique_ptr<call>> calls_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace almond

#endif  // ALMOND_NET_HTTP_POOL_H_
