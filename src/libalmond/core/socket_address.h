#ifndef ALMOND_CORE_SOCKET_ADDRESS_H_
#define ALMOND_CORE_SOCKET_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almond {

/// An IPv4 address and a port.
struct socket_address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const socket_address&) const = default;

  /// @param text "IP:PORT"
  /// @returns the address, or nothing if the text is not one
  static std::optional<socket_address> Parse(std::string_view text);

  /// @param text addresses separated by commas; may be empty
  /// @returns the addresses, or nothing if one of them is malformed
  static std::optional<std::vector<socket_address>> ParseList(
      std::string_view text);

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

}  // namespace almond

#endif  // ALMOND_CORE_SOCKET_ADDRESS_H_
