#ifndef ALMOND_TESTS_CONTROL_PORT_RESERVATION_H_
#define ALMOND_TESTS_CONTROL_PORT_RESERVATION_H_

#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <map>

#include "libalmond/net/socket_util.h"

namespace almond {

/// Chooses loopback ports for listeners that are bound later. Test processes
/// that run at a time have different ports. All lie below the range that the
/// kernel uses for outgoing connections.
class port_reservation {
 public:
  port_reservation() = default;
  ~port_reservation() {
    for (const auto& [port, descriptor] : held_) close(descriptor);
  }
  port_reservation(const port_reservation&) = delete;
  port_reservation& operator=(const port_reservation&) = delete;

  /// @returns an address that is not used elsewhere until its release
  socket_address Reserve() {
    while (true) {
      const auto port = static_cast<std::uint16_t>(
          kFirstPort + getpid() % kBlocks * kBlockPorts + next_);
      next_ = (next_ + 1) % kBlockPorts;
      socket_address address{"127.0.0.1", port};
      const sockaddr_in raw = ToSockaddr(address);
      const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (bind(descriptor, reinterpret_cast<const sockaddr*>(&raw),
               sizeof(raw)) == 0) {
        held_[address.port] = descriptor;
        return address;
      }
      close(descriptor);
    }
  }
  /// Lets a listener bind the address. No effect after the first call.
  void Release(const socket_address& address) {
    const auto held = held_.find(address.port);
    if (held == held_.end()) return;
    close(held->second);
    held_.erase(held);
  }

 private:
  static constexpr int kFirstPort = 10000;
  static constexpr int kBlockPorts = 20;
  static constexpr int kBlocks = 1000;

  int next_ = 0;
  std::map<std::uint16_t, int> held_;
};

}  // namespace almond

#endif  // ALMOND_TESTS_CONTROL_PORT_RESERVATION_H_
