#ifndef ALMOND_NET_HTTP_CLIENT_H_
#define ALMOND_NET_HTTP_CLIENT_H_

#include <functional>

#include "libalmond/core/clock.h"
#include "libalmond/core/socket_address.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_message.h"

namespace almond {

/// Outcome of a request of the HTTP client.
enum class http_call_outcome {
  answered,  ///< a complete response was received
  not_sent,  ///< no connection; the server has received nothing
  lost       ///< bytes may have been sent; no complete response
};

struct http_call_result {
  http_call_outcome outcome = http_call_outcome::lost;
  http_response response;  ///< valid if answered
};

using http_call_hook = std::function<void(const http_call_result&)>;

/// Sends one request over a new connection and never resends it. Connections
/// are not reused, since a server may close an idle connection while the next
/// request is written; the outcome of that request would then be unknown.
/// @param loop the process's event loop
/// @param address address of the server
/// @param request method, path with query, headers and body
/// @param timeout limit on the time without progress, including the connect
/// @param on_end called once, never from within this call
void SendHttpRequest(event_loop& loop, const socket_address& address,
                     const http_request& request, milliseconds timeout,
                     http_call_hook on_end);

}  // namespace almond

#endif  // ALMOND_NET_HTTP_CLIENT_H_
