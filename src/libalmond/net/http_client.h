#ifndef ALMOND_NET_HTTP_CLIENT_H_
#define ALMOND_NET_HTTP_CLIENT_H_

#include <functional>

#include "libalmond/core/clock.h"
#include "libalmond/core/socket_address.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_message.h"

namespace almond {

/// How a request of the HTTP client ended.
enum class http_call_outcome {
  answered,  ///< a whole response came
  not_sent,  ///< no connection could be opened; the server saw nothing
  lost       ///< bytes may have been written, no whole response came
};

struct http_call_result {
  http_call_outcome outcome = http_call_outcome::lost;
  http_response response;  ///< valid if answered
};

using http_call_hook = std::function<void(const http_call_result&)>;

/// Sends one request over a connection of its own and never resends it. A
/// connection is not reused, since a server may close an idle connection at the
/// moment when the next request is written, which would make its outcome
/// unknown.
/// @param loop the process's loop
/// @param address server
/// @param request method, path with query, headers and body
/// @param timeout longest time without progress, connecting included
/// @param on_end called once, never from within this call
void SendHttpRequest(event_loop& loop, const socket_address& address,
                     const http_request& request, milliseconds timeout,
                     http_call_hook on_end);

}  // namespace almond

#endif  // ALMOND_NET_HTTP_CLIENT_H_
