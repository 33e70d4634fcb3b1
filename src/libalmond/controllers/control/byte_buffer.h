#ifndef ALMOND_CONTROLLERS_CONTROL_BYTE_BUFFER_H_
#define ALMOND_CONTROLLERS_CONTROL_BYTE_BUFFER_H_

#include <array>
#include <bit>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "libalmond/core/clock.h"
#include "libalmond/core/identifiers.h"
#include "libalmond/core/uuid.h"

namespace almond {

/// Serializes values into a byte string: numbers as variable-length integers
/// (seven bits a byte) and texts prefixed with their length.
class byte_writer {
 public:
  void Number(std::uint64_t value) {
    std::array<char, 10> encoded{};
    std::size_t size = 0;
    for (; value >= 0x80U; value >>= 7U) {
      encoded[size++] = static_cast<char>((value & 0x7FU) | 0x80U);
    }
    encoded[size++] = static_cast<char>(value);
    bytes_.append(encoded.data(), size);
  }
  template <typename Tag>
  void Number(const typed_number<Tag>& value) {
    Number(value.Value());
  }
  void Text(std::string_view text) {
    Number(text.size());
    bytes_.append(text);
  }
  /// Appends bytes without a length prefix; the reader must know the length.
  void Raw(std::string_view bytes) { bytes_.append(bytes); }
  void Id(const uuid& id) {
    // Avoids the allocation of uuid::Bytes, since a snapshot holds many ids.
    const auto bytes = std::bit_cast<std::array<char, uuid::kSize>>(id);
    bytes_.append(bytes.data(), bytes.size());
  }
  /// @param time stored in milliseconds
  void Time(wall_time time) {
    Number(static_cast<std::uint64_t>(
        std::chrono::floor<milliseconds>(time.time_since_epoch()).count()));
  }
  void Reserve(std::size_t size) { bytes_.reserve(size); }
  std::string Take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

/// Reads values serialized by byte_writer. Once a read fails, Ok returns false
/// for good, and values read from then on must not be used.
class byte_reader {
 public:
  explicit byte_reader(std::string_view bytes) : bytes_(bytes) {}

  std::uint64_t Number() {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
      if (position_ >= bytes_.size()) break;
      const auto byte = static_cast<std::uint8_t>(bytes_[position_++]);
      value |= static_cast<std::uint64_t>(byte & 0x7FU) << shift;
      if ((byte & 0x80U) == 0) return value;
    }
    ok_ = false;
    return 0;
  }
  std::uint32_t Number32() { return static_cast<std::uint32_t>(Number()); }
  std::string_view Raw(std::size_t size) {
    if (!ok_ || size > bytes_.size() - position_) {
      ok_ = false;
      return {};
    }
    position_ += size;
    return bytes_.substr(position_ - size, size);
  }
  std::string Text() { return std::string(Raw(Number())); }
  uuid Id() { return uuid::FromBytes(Raw(uuid::kSize)).value_or(uuid()); }
  wall_time Time() {
    return wall_time(milliseconds(static_cast<std::int64_t>(Number())));
  }
  /// Reads an enumerator; fails if its value is above `last`.
  /// @param last largest valid value
  template <typename Enum>
  Enum Enumerator(Enum last) {
    const std::uint64_t value = Number();
    if (value > static_cast<std::uint64_t>(last)) ok_ = false;
    return ok_ ? static_cast<Enum>(value) : Enum{};
  }
  bool Ok() const { return ok_; }
  /// @returns true if all bytes were consumed and no read failed
  bool Finished() const { return ok_ && position_ == bytes_.size(); }

 private:
  std::string_view bytes_;
  std::size_t position_ = 0;
  bool ok_ = true;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_BYTE_BUFFER_H_
