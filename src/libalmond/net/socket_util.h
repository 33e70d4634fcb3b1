#ifndef ALMOND_NET_SOCKET_UTIL_H_
#define ALMOND_NET_SOCKET_UTIL_H_

#include <netinet/in.h>

#include "libalmond/core/socket_address.h"

namespace almond {

/// Length of the queue of connections that are not yet accepted.
inline constexpr int kListenBacklog = 1024;

/// Upper limit on the bytes that wait in the kernel in one direction of an
/// accepted connection.
inline constexpr int kSocketBufferBytes = 64 * 1024;

/// Limits the kernel's buffers of the connections that a listener accepts.
/// @param listener a listening socket
void LimitSocketBuffers(int listener);

/// @returns the address as a sockaddr_in, as the socket API requires
sockaddr_in ToSockaddr(const socket_address& address);

/// @param descriptor a bound socket
/// @returns its local port
std::uint16_t BoundPort(int descriptor);

}  // namespace almond

#endif  // ALMOND_NET_SOCKET_UTIL_H_
