#ifndef ALMOND_OPERATOR_COMMANDS_COMMAND_SPEC_H_
#define ALMOND_OPERATOR_COMMANDS_COMMAND_SPEC_H_

#include <string>
#include <vector>

namespace almond {

/// Type of the value of a flag.
enum class flag_type { none, text, number, uuid, url, url_list, overlays };

/// One flag of a command.
struct flag_spec {
  std::string name;           ///< without the hyphens
  flag_type type;             ///< `none` if the flag takes no value
  std::string value_name;     ///< shown in the help
  std::string help;           ///< meaning with unit
  std::string default_value;  ///< shown in the help; "required" if mandatory
};

/// One command of almondctl.
struct command_spec {
  std::string name;  ///< words, such as "config apply"
  std::string help;
  std::vector<flag_spec> flags;
};

/// @returns all commands with their flags
const std::vector<command_spec>& Commands();
/// @returns flags that every command takes
const std::vector<flag_spec>& GlobalFlags();
/// @returns the text of --help
std::string HelpText();

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_COMMAND_SPEC_H_
