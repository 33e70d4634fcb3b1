#ifndef ALMOND_CORE_FRAME_H_
#define ALMOND_CORE_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace almond {

/// One encoded message between processes.
struct frame {
  std::uint8_t type = 0;
  std::string payload;
};

/// Limit on the payload in bytes; a larger frame closes the connection.
inline constexpr std::size_t kMaxFramePayload = std::size_t{17} << 20U;

/// First of the frame types reserved for the link itself (ping, pong).
inline constexpr std::uint8_t kFirstLinkFrameType = 0xF0;

}  // namespace almond

#endif  // ALMOND_CORE_FRAME_H_
