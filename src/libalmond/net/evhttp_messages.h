#ifndef ALMOND_NET_EVHTTP_MESSAGES_H_
#define ALMOND_NET_EVHTTP_MESSAGES_H_

#include <event2/http.h>

#include <string>

#include "libalmond/core/socket_address.h"
#include "libalmond/net/http_message.h"

namespace almond {

/// Conversions between HTTP messages and evhttp's requests, for the clients.

evhttp_cmd_type HttpCommand(const std::string& method);

/// Sets headers and body of an outgoing request.
/// @param connection value of the Connection header
void FillRequest(evhttp_request* message, const socket_address& address,
                 const http_request& request, const char* connection);

/// @returns the path with its query
std::string RequestTarget(const http_request& request);

/// Moves the response out of an answered request.
http_response TakeResponse(evhttp_request* message);

}  // namespace almond

#endif  // ALMOND_NET_EVHTTP_MESSAGES_H_
