#ifndef ALMOND_WIRE_FRAME_NAMES_H_
#define ALMOND_WIRE_FRAME_NAMES_H_

#include <cstdint>
#include <string>

namespace almond {

/// @returns the name of a frame type between entries and agents, for metrics;
///   "unknown" for every other type
std::string FrameName(std::uint8_t type);

}  // namespace almond

#endif  // ALMOND_WIRE_FRAME_NAMES_H_
