#include "libalmond/core/socket_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace almond {

std::optional<socket_address> socket_address::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  socket_address result;
  result.ip = std::string(text.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, result.ip.c_str(), &parsed) != 1) return std::nullopt;
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), result.port);
  if (error != std::errc() || end != port.data() + port.size()) {
    return std::nullopt;
  }
  return result;
}

std::optional<std::vector<socket_address>> socket_address::ParseList(
    std::string_view text) {
  std::vector<socket_address> result;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const auto address = Parse(text.substr(0, comma));
    if (!address) return std::nullopt;
    result.push_back(*address);
    text.remove_prefix(comma == std::string_view::npos ? text.size()
                                                       : comma + 1);
  }
  return result;
}

}  // namespace almond
