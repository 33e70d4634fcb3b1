#include "libalmond/core/uuid.h"

#include <algorithm>

namespace almond {
namespace {

constexpr std::size_t kTextSize = 36;
constexpr std::string_view kDigits = "0123456789abcdef";

bool IsHyphenPosition(std::size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

std::optional<std::uint8_t> HexDigit(char character) {
  if (character >= 'A' && character <= 'F') {
    character = static_cast<char>(character - 'A' + 'a');
  }
  const std::size_t value = kDigits.find(character);
  if (value == std::string_view::npos) return std::nullopt;
  return static_cast<std::uint8_t>(value);
}

}  // namespace

std::optional<uuid> uuid::Parse(std::string_view text) {
  if (text.size() != kTextSize) return std::nullopt;
  uuid result;
  std::size_t nibble = 0;
  for (std::size_t i = 0; i < kTextSize; ++i) {
    if (IsHyphenPosition(i)) {
      if (text[i] != '-') return std::nullopt;
      continue;
    }
    const auto digit = HexDigit(text[i]);
    if (!digit) return std::nullopt;
    std::uint8_t& byte = result.bytes_[nibble / 2];
    byte = static_cast<std::uint8_t>(byte << 4U | *digit);
    ++nibble;
  }
  return result;
}

std::optional<uuid> uuid::FromBytes(std::string_view bytes) {
  if (bytes.size() != kSize) return std::nullopt;
  uuid result;
  std::memcpy(result.bytes_.data(), bytes.data(), kSize);
  return result;
}

uuid uuid::MakeV7(wall_time now, std::mt19937_64& random) {
  const auto since_epoch =
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
  auto time = static_cast<std::uint64_t>(since_epoch.count());
  uuid result;
  for (std::size_t i = 6; i-- > 0;) {
    result.bytes_[i] = static_cast<std::uint8_t>(time & 0xFFU);
    time >>= 8U;
  }
  std::array<std::uint64_t, 2> bits = {random(), random()};
  std::memcpy(&result.bytes_[6], &bits[0], 2);
  std::memcpy(&result.bytes_[8], &bits[1], 8);
  result.bytes_[6] =
      static_cast<std::uint8_t>(0x70U | (result.bytes_[6] & 0x0FU));
  result.bytes_[8] =
      static_cast<std::uint8_t>(0x80U | (result.bytes_[8] & 0x3FU));
  return result;
}

wall_time uuid::Timestamp() const {
  std::uint64_t time = 0;
  for (std::size_t i = 0; i < 6; ++i) time = time << 8U | bytes_[i];
  // The 48 bits reach further than the clock's nanoseconds.
  return wall_time(std::min(
      milliseconds(static_cast<std::int64_t>(time)),
      std::chrono::floor<milliseconds>(wall_time::max().time_since_epoch())));
}

std::string uuid::ToString() const {
  std::string text;
  text.reserve(kTextSize);
  for (std::size_t i = 0; i < kSize; ++i) {
    if (i == 4 || i == 6 || i == 8 || i == 10) text.push_back('-');
    text.push_back(kDigits[bytes_[i] >> 4U]);
    text.push_back(kDigits[bytes_[i] & 0x0FU]);
  }
  return text;
}

std::string uuid::Bytes() const { return {bytes_.begin(), bytes_.end()}; }

std::size_t uuid::Hash() const {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  std::memcpy(&high, bytes_.data(), 8);
  std::memcpy(&low, bytes_.data() + 8, 8);
  return std::hash<std::uint64_t>{}(high ^ (low * 0x9E3779B97F4A7C15ULL));
}

}  // namespace almond
