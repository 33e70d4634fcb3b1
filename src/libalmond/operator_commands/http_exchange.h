#ifndef ALMOND_OPERATOR_COMMANDS_HTTP_EXCHANGE_H_
#define ALMOND_OPERATOR_COMMANDS_HTTP_EXCHANGE_H_

#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_client.h"

namespace almond {

/// Sends one request and runs the loop until it has ended. Only for programs
/// that have nothing else to do.
/// @param loop not running
/// @param timeout longest time without progress
http_call_result Exchange(event_loop& loop, const socket_address& address,
                          const http_request& request, milliseconds timeout);

/// Runs the loop for a time.
void RunFor(event_loop& loop, duration time);

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_HTTP_EXCHANGE_H_
