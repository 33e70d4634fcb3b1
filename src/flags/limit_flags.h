#ifndef ALMOND_FLAGS_LIMIT_FLAGS_H_
#define ALMOND_FLAGS_LIMIT_FLAGS_H_

#include <optional>

#include "libalmond/net/input_limits.h"

namespace almond {

/// Reads the flags that limit what clients may occupy. Prints a message to
/// standard error if a flag is invalid.
/// @returns the limits, or nothing if a flag is invalid
std::optional<input_limits> ReadLimitFlags();

}  // namespace almond

#endif  // ALMOND_FLAGS_LIMIT_FLAGS_H_
