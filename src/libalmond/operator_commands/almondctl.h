#ifndef ALMOND_OPERATOR_COMMANDS_ALMONDCTL_H_
#define ALMOND_OPERATOR_COMMANDS_ALMONDCTL_H_

#include <string>
#include <vector>

#include "libalmond/operator_commands/exit_code.h"
#include "libalmond/operator_commands/operator_context.h"

namespace almond {

inline constexpr const char* kAlmondctlVersion = "0.1.0";

/// Runs one command.
/// @param arguments without the program's name
/// @returns the exit code of the program; errors are printed to the context
exit_code RunAlmondctl(const std::vector<std::string>& arguments,
                       const operator_context& context);

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_ALMONDCTL_H_
