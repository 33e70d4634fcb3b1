#ifndef ALMOND_OPERATOR_COMMANDS_OPERATOR_CONTEXT_H_
#define ALMOND_OPERATOR_COMMANDS_OPERATOR_CONTEXT_H_

#include <functional>
#include <optional>
#include <ostream>
#include <random>
#include <string>

#include "libalmond/core/clock.h"
#include "libalmond/net/event_loop.h"

namespace almond {

/// What a command uses of the world around it; tests pass stand-ins.
struct operator_context {
  event_loop& loop;  ///< run by the command while it waits
  const clock_interface& clock;
  std::mt19937_64& random;
  std::ostream& out;
  std::ostream& err;
  /// Content of a file, "-" for standard input; nothing if it is unreadable.
  std::function<std::optional<std::string>(const std::string&)> read_file;
  /// Value of ALMOND_CONTROL, or an empty text.
  std::string control_setting;
  /// Time between two rounds over the control processes. Ten rounds cover an
  /// election of four seconds.
  milliseconds round_pause{500};
};

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_OPERATOR_CONTEXT_H_
