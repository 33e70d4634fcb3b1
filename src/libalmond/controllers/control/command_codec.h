#ifndef ALMOND_CONTROLLERS_CONTROL_COMMAND_CODEC_H_
#define ALMOND_CONTROLLERS_CONTROL_COMMAND_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "libalmond/controllers/control/control_command.h"

namespace almond {

/// @returns the command encoded for the replicated log
std::string EncodeCommand(const control_command& command);

/// @param bytes from EncodeCommand
/// @returns the command, or nothing if the bytes are malformed
std::optional<control_command> DecodeCommand(std::string_view bytes);

/// @returns the encoded result
std::string EncodeResult(const control_result& result);

/// @param bytes from EncodeResult
/// @returns the result, or nothing if the bytes are malformed
std::optional<control_result> DecodeResult(std::string_view bytes);

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_COMMAND_CODEC_H_
