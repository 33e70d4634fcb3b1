#ifndef ALMOND_BENCH_LOAD_PROFILE_H_
#define ALMOND_BENCH_LOAD_PROFILE_H_

#include <optional>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"

namespace almond {

/// A part of a run with a constant rate.
struct load_step {
  milliseconds length{0};
  double rate = 0;  ///< tasks per second
};

/// @param text steps such as "5s:0.3x,500ms:3x,5s:120"; a rate with the suffix
///   x is a multiple of the base rate, otherwise it is in tasks per second
/// @param base_rate tasks per second
/// @returns the steps, or nothing if the text is malformed
std::optional<std::vector<load_step>> ParseProfile(const std::string& text,
                                                   double base_rate);

}  // namespace almond

#endif  // ALMOND_BENCH_LOAD_PROFILE_H_
