#include "libalmond/config/text_check.h"

#include <cstdint>

namespace almond {
namespace {

std::uint8_t ByteAt(std::string_view text, std::size_t position) {
  return static_cast<std::uint8_t>(text[position]);
}

// Returns the length of the first UTF-8 sequence, or 0 if it is malformed.
std::size_t SequenceLength(std::string_view text) {
  const std::uint8_t lead = ByteAt(text, 0);
  if (lead < 0x80) return 1;
  const std::size_t length = lead >= 0xF0 ? 4 : lead >= 0xE0 ? 3 : 2;
  if (lead < 0xC2 || lead > 0xF4 || text.size() < length) return 0;
  for (std::size_t i = 1; i < length; ++i) {
    if ((ByteAt(text, i) & 0xC0U) != 0x80U) return 0;
  }
  const std::uint8_t second = ByteAt(text, 1);
  const bool overlong =
      (lead == 0xE0 && second < 0xA0) || (lead == 0xF0 && second < 0x90);
  const bool surrogate = lead == 0xED && second > 0x9F;
  const bool too_large = lead == 0xF4 && second > 0x8F;
  return overlong || surrogate || too_large ? 0 : length;
}

std::string LineError(std::string_view line) {
  if (!IsUtf8(line)) return "UTF-8 text";
  if (line.find('\t') != std::string_view::npos) return "spaces, not tabs";
  for (const char character : line) {
    const auto code = static_cast<std::uint8_t>(character);
    if ((code < 0x20 && character != '\r') || code == 0x7F) {
      return "no control characters";
    }
  }
  return "";
}

}  // namespace

bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t length = SequenceLength(text);
    if (length == 0) return false;
    text.remove_prefix(length);
  }
  return true;
}

bool CheckText(std::string_view text, const std::string& file,
               std::vector<config_error>& errors) {
  bool valid = true;
  for (std::size_t number = 1; !text.empty(); ++number) {
    const std::size_t end = text.find('\n');
    const std::string error = LineError(text.substr(0, end));
    if (!error.empty()) {
      errors.push_back({file, "line " + std::to_string(number), error});
      valid = false;
    }
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  }
  return valid;
}

}  // namespace almond
