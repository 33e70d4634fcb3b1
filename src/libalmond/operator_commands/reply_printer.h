#ifndef ALMOND_OPERATOR_COMMANDS_REPLY_PRINTER_H_
#define ALMOND_OPERATOR_COMMANDS_REPLY_PRINTER_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libalmond/config/config_loader.h"
#include "libalmond/net/http_client.h"
#include "libalmond/operator_commands/command_line.h"
#include "libalmond/operator_commands/control_api_client.h"
#include "libalmond/operator_commands/exit_code.h"

namespace almond {

/// Prints the body of a successful answer.
using reply_hook = std::function<void(const nlohmann::json&)>;

/// Prints an answer of the control processes, or the reason for a missing one.
/// @param print called with the body of a status 200 unless --json is set
exit_code PrintControlAnswer(const command_line& line,
                             const operator_context& context,
                             const control_answer& answer,
                             const reply_hook& print);

/// Sends a GET request to the control processes and prints the answer.
/// @param path path of the request
/// @param query query of the request, or empty
exit_code PrintFromControl(const command_line& line,
                           const operator_context& context,
                           const std::string& path, const std::string& query,
                           const reply_hook& print);

/// Prints the answer of one process, or the reason for a missing one.
exit_code PrintProcessAnswer(const command_line& line,
                             const operator_context& context,
                             const http_call_result& result,
                             const reply_hook& print);

/// Prints the errors of a configuration, one per line.
void PrintErrors(std::ostream& out, const std::vector<config_error>& errors);

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_REPLY_PRINTER_H_
