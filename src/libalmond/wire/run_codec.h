#ifndef ALMOND_WIRE_RUN_CODEC_H_
#define ALMOND_WIRE_RUN_CODEC_H_

#include <optional>

#include "libalmond/core/frame.h"
#include "libalmond/core/run_messages.h"

namespace almond {

frame EncodeEntryRunMessage(const entry_run_message& message);
/// @returns the message, or nothing if the frame is malformed or of another
///   type
std::optional<entry_run_message> DecodeEntryRunMessage(const frame& encoded);

frame EncodeAgentRunMessage(const agent_run_message& message);
/// @returns the message, or nothing if the frame is malformed or of another
///   type
std::optional<agent_run_message> DecodeAgentRunMessage(const frame& encoded);

}  // namespace almond

#endif  // ALMOND_WIRE_RUN_CODEC_H_
