#include "libalmond/core/json_text.h"

namespace almond {

bool IsNestedTooDeeply(const std::string& text) {
  std::size_t depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted && c == '\\') {
      ++i;
    } else if (c == '"') {
      quoted = !quoted;
    } else if (!quoted && (c == '[' || c == '{')) {
      if (++depth > kMaxJsonDepth) return true;
    } else if (!quoted && (c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

nlohmann::json ParseJson(const std::string& text) {
  if (IsNestedTooDeeply(text)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
}

}  // namespace almond
