#ifndef ALMOND_WIRE_WIRE_VALUES_H_
#define ALMOND_WIRE_WIRE_VALUES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>

#include "libalmond/core/clock.h"
#include "libalmond/core/identifiers.h"
#include "libalmond/core/uuid.h"

namespace almond::wire {

/// Conversions between core types and the integers of Thrift structures.
template <typename Tag>
std::int64_t ToWire(const typed_number<Tag>& number) {
  return static_cast<std::int64_t>(number.Value());
}

template <typename Number>
Number NumberFromWire(std::int64_t value) {
  return Number(static_cast<std::uint64_t>(value));
}

template <typename Enum>
std::int8_t EnumToWire(Enum value) {
  return static_cast<std::int8_t>(value);
}

/// @param value integer from the wire
/// @param last largest valid value
/// @param result filled on success
/// @returns false if the value is not an enumerator
template <typename Enum>
bool EnumFromWire(std::int8_t value, Enum last, Enum& result) {
  if (value < 0 || value > static_cast<std::int8_t>(last)) return false;
  result = static_cast<Enum>(value);
  return true;
}

/// @returns false if the length is not 16 bytes
inline bool UuidFromWire(const std::string& bytes, uuid& result) {
  const auto parsed = uuid::FromBytes(bytes);
  if (parsed) result = *parsed;
  return parsed.has_value();
}

inline std::int64_t WallToWire(wall_time time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
      .count();
}

inline wall_time WallFromWire(std::int64_t value) {
  return wall_time(milliseconds(value));
}

/// Counts are signed on the wire; negative ones are decoded as zero.
inline std::uint32_t CountFromWire(std::int32_t value) {
  return value < 0 ? 0 : static_cast<std::uint32_t>(value);
}

}  // namespace almond::wire

#endif  // ALMOND_WIRE_WIRE_VALUES_H_
