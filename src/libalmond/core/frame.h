#ifndef ALMOND_CORE_FRAME_H_
#define ALMOND_CORE_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace almond {

/// One message between processes as bytes: a type and its payload.
struct frame {
  std::uint8_t type = 0;
  std::string payload;
};

/// Largest payload of a frame in bytes; a longer one closes the connection.
inline constexpr std::size_t kMaxFramePayload = std::size_t{17} << 20U;

/// Frame types from here on belong to the link itself (ping, pong).
inline constexpr std::uint8_t kFirstLinkFrameType = 0xF0;

}  // namespace almond

#endif  // ALMOND_CORE_FRAME_H_
