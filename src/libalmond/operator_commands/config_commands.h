#ifndef ALMOND_OPERATOR_COMMANDS_CONFIG_COMMANDS_H_
#define ALMOND_OPERATOR_COMMANDS_CONFIG_COMMANDS_H_

#include "libalmond/operator_commands/command_line.h"
#include "libalmond/operator_commands/exit_code.h"
#include "libalmond/operator_commands/operator_context.h"

namespace almond {

/// Checks files without a server and lists every error.
exit_code ConfigCheck(const command_line& line,
                      const operator_context& context);
/// Sends files to the leader; resends them with the same change id if the
/// answer is lost.
exit_code ConfigApply(const command_line& line,
                      const operator_context& context);
/// Shows the effective version of one process, or the accepted files.
exit_code ConfigShow(const command_line& line, const operator_context& context);
/// Lists the accepted changes.
exit_code ConfigHistory(const command_line& line,
                        const operator_context& context);
/// Compares two accepted versions.
exit_code ConfigDiff(const command_line& line, const operator_context& context);

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_CONFIG_COMMANDS_H_
