#ifndef ALMOND_OPERATOR_COMMANDS_HTTP_EXCHANGE_H_
#define ALMOND_OPERATOR_COMMANDS_HTTP_EXCHANGE_H_

#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_client.h"

namespace almond {

/// Sends one request and runs the loop until the call has ended. Only for
/// programs that do nothing else meanwhile.
/// @param loop event loop, which must not be running
/// @param timeout limit on the time without progress
http_call_result SendAndWait(event_loop& loop, const socket_address& address,
                             const http_request& request, milliseconds timeout);

/// Runs the loop for the given time.
void RunFor(event_loop& loop, duration time);

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_HTTP_EXCHANGE_H_
