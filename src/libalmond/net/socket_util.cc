#include "libalmond/net/socket_util.h"

#include <arpa/inet.h>

namespace almond {

void LimitSocketBuffers(int listener) {
  for (const int direction : {SO_RCVBUF, SO_SNDBUF}) {
    setsockopt(listener, SOL_SOCKET, direction, &kSocketBufferBytes,
               sizeof(kSocketBufferBytes));
  }
}

sockaddr_in ToSockaddr(const socket_address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

std::uint16_t BoundPort(int descriptor) {
  sockaddr_in bound{};
  socklen_t length = sizeof(bound);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &length);
  return ntohs(bound.sin_port);
}

}  // namespace almond
