#include "libalmond/operator_commands/almondctl.h"

#include <boost/leaf/handle_errors.hpp>
#include <functional>
#include <map>

#include "libalmond/operator_commands/command_line.h"
#include "libalmond/operator_commands/command_spec.h"
#include "libalmond/operator_commands/config_commands.h"
#include "libalmond/operator_commands/process_commands.h"

namespace almond {
namespace {

/// Implementation of a command, and whether it calls the control processes.
struct command_entry {
  std::function<exit_code(const command_line&, const operator_context&)> run;
  bool needs_control;
};

const std::map<std::string, command_entry>& Table() {
  static const std::map<std::string, command_entry> table = {
      {"config check", {ConfigCheck, false}},
      {"config apply", {ConfigApply, true}},
      {"config show", {ConfigShow, true}},
      {"config history", {ConfigHistory, true}},
      {"config diff", {ConfigDiff, true}},
      {"status", {Status, true}},
      {"evacuate", {Evacuate, true}},
      {"report", {Report, false}},
      {"drain", {Drain, false}},
      {"submit", {Submit, false}}};
  return table;
}

exit_code RunCommand(const command_line& line,
                     const operator_context& context) {
  if (line.Has("help")) {
    context.out << HelpText();
    return exit_code::success;
  }
  if (line.Has("version")) {
    context.out << "almondctl " << kAlmondctlVersion << "\n";
    return exit_code::success;
  }
  const command_entry& command = Table().at(line.Command());
  const bool calls_process = line.Has("entry") || line.Has("agent");
  if (command.needs_control && !calls_process && !line.Has("control")) {
    context.err << "the command " << line.Command()
                << " needs --control or ALMOND_CONTROL\n";
    return exit_code::usage;
  }
  return command.run(line, context);
}

}  // namespace

exit_code RunAlmondctl(const std::vector<std::string>& arguments,
                       const operator_context& context) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<exit_code> {
        auto line = command_line::Parse(arguments, context.control_setting);
        if (!line) return line.error();
        return RunCommand(*line, context);
      },
      [&](const usage_error& error) {
        context.err << "almondctl: " << error.message
                    << "\nalmondctl --help lists commands and flags\n";
        return exit_code::usage;
      },
      [&] {
        context.err << "almondctl: internal error\n";
        return exit_code::no_answer;
      });
}

}  // namespace almond
