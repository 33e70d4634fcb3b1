#ifndef ALMOND_WIRE_DISPATCH_CODEC_H_
#define ALMOND_WIRE_DISPATCH_CODEC_H_

#include <optional>

#include "libalmond/core/dispatch_messages.h"
#include "libalmond/core/frame.h"

namespace almond {

/// @param message a message from an agent to an entry
/// @returns its frame
frame EncodeAgentMessage(const agent_message& message);

/// @param encoded a frame that an entry received
/// @returns the message, or nothing if the type is unknown, the payload is
///   malformed, or a value is out of its range
std::optional<agent_message> DecodeAgentMessage(const frame& encoded);

/// @param message a message from an entry to an agent
/// @returns its frame
frame EncodeEntryMessage(const entry_message& message);

/// @param encoded a frame that an agent received
/// @returns the message, or nothing if the type is unknown, the payload is
///   malformed, or a value is out of its range
std::optional<entry_message> DecodeEntryMessage(const frame& encoded);

}  // namespace almond

#endif  // ALMOND_WIRE_DISPATCH_CODEC_H_
