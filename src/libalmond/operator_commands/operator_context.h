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

/// Dependencies of a command; tests pass fakes.
struct operator_context {
  event_loop& loop;  ///< run by the command while it waits
  const clock_interface& clock;
  std::mt19937_64& random;
  std::ostream& out;
  std::ostream& err;
  /// Returns the content of a file, or nothing if it cannot be read; "-" is
  /// standard input.
  std::function<std::optional<std::string>(const std::string&)> read_file;
  /// Value of ALMOND_CONTROL, or an empty string.
  std::string control_setting;
  /// Delay between two rounds over the control processes. With ten rounds, a
  /// call outlasts an election of four seconds.
  milliseconds round_delay{500};
};

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_OPERATOR_CONTEXT_H_
