#ifndef ALMOND_WIRE_CONTROL_CODEC_H_
#define ALMOND_WIRE_CONTROL_CODEC_H_

#include <cstdint>
#include <optional>

#include "libalmond/core/control_messages.h"
#include "libalmond/core/frame.h"

namespace almond {

/// A request with its number, which the reply repeats.
struct numbered_control_request {
  std::uint64_t number = 0;
  control_request body;
};

/// A reply with the number of its request.
struct numbered_control_reply {
  std::uint64_t number = 0;
  control_reply body;
};

/// @param number chosen by the sender, unique among its pending requests
/// @param request a request to the control leader
/// @returns its frame
frame EncodeControlRequest(std::uint64_t number,
                           const control_request& request);

/// @param encoded a frame that a control process received
/// @returns the request, or nothing if the type is unknown, the payload is
///   malformed, or a value is out of its range
std::optional<numbered_control_request> DecodeControlRequest(
    const frame& encoded);

/// @param number number of the request
/// @param reply a reply to it
/// @returns its frame
frame EncodeControlReply(std::uint64_t number, const control_reply& reply);

/// @param encoded a frame that an entry or agent received
/// @returns the reply, or nothing if the type is unknown, the payload is
///   malformed, or a value is out of its range
std::optional<numbered_control_reply> DecodeControlReply(const frame& encoded);

}  // namespace almond

#endif  // ALMOND_WIRE_CONTROL_CODEC_H_
