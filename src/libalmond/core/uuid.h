#ifndef ALMOND_CORE_UUID_H_
#define ALMOND_CORE_UUID_H_

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "libalmond/core/clock.h"

namespace almond {

/// A UUID as in RFC 9562.
class uuid {
 public:
  static constexpr std::size_t kSize = 16;

  uuid() = default;

  /// Parses the canonical form with hyphens.
  /// @param text 36 characters, hexadecimal digits in either case
  /// @returns the UUID, or nothing if the text is not one
  static std::optional<uuid> Parse(std::string_view text);

  /// @param bytes 16 bytes in network order
  /// @returns the UUID, or nothing if the length is wrong
  static std::optional<uuid> FromBytes(std::string_view bytes);

  /// Makes a version 7 UUID.
  /// @param now wall-clock time stored in the id, in milliseconds
  /// @param random source of the 74 random bits
  static uuid MakeV7(wall_time now, std::mt19937_64& random);

  int Version() const { return bytes_[6] >> 4; }
  /// @returns true if this is a version 7 UUID of the RFC's variant
  bool IsV7() const { return Version() == 7 && (bytes_[8] & 0xC0U) == 0x80U; }
  /// @returns the wall-clock time that a version 7 UUID carries, or the latest
  ///   representable one if that is later
  wall_time Timestamp() const;
  std::string ToString() const;
  /// @returns the 16 bytes in network order
  std::string Bytes() const;
  std::size_t Hash() const;

  auto operator<=>(const uuid&) const = default;

 private:
  std::array<std::uint8_t, kSize> bytes_{};
};

}  // namespace almond

template <>
struct std::hash<almond::uuid> {
  std::size_t operator()(const almond::uuid& id) const noexcept {
    return id.Hash();
  }
};

#endif  // ALMOND_CORE_UUID_H_
