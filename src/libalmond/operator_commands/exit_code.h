#ifndef ALMOND_OPERATOR_COMMANDS_EXIT_CODE_H_
#define ALMOND_OPERATOR_COMMANDS_EXIT_CODE_H_

namespace almond {

/// Exit codes of almondctl.
enum class exit_code : int {
  success = 0,
  refused = 1,   ///< refused by the system, or invalid configuration
  usage = 2,     ///< the command line is invalid or a file cannot be read
  no_answer = 3  ///< no answer, or the outcome is unknown
};

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_EXIT_CODE_H_
