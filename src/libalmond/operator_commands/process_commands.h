#ifndef ALMOND_OPERATOR_COMMANDS_PROCESS_COMMANDS_H_
#define ALMOND_OPERATOR_COMMANDS_PROCESS_COMMANDS_H_

#include "libalmond/operator_commands/command_line.h"
#include "libalmond/operator_commands/exit_code.h"
#include "libalmond/operator_commands/operator_context.h"

namespace almond {

/// Counts the processes at the newest configuration version and lists those
/// with an older one.
exit_code Status(const command_line& line, const operator_context& context);
/// Evacuates a data centre, or takes it back with --withdraw.
exit_code Evacuate(const command_line& line, const operator_context& context);
/// Prints the report on entries: response time, service at the peak, and wait
/// of short and of all work.
exit_code Report(const command_line& line, const operator_context& context);
/// Drains the endpoint of an agent.
exit_code Drain(const command_line& line, const operator_context& context);
/// Submits a job and prints its answer.
exit_code Submit(const command_line& line, const operator_context& context);

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_PROCESS_COMMANDS_H_
