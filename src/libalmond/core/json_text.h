#ifndef ALMOND_CORE_JSON_TEXT_H_
#define ALMOND_CORE_JSON_TEXT_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace almond {

/// Limit on the nesting levels of a JSON text from another process; no
/// interface needs more than six.
inline constexpr std::size_t kMaxJsonDepth = 32;

/// @returns true if the text nests arrays and objects more than kMaxJsonDepth
///   levels deep
bool IsNestedTooDeeply(const std::string& text);

/// Parses a JSON text from another process. The parser allocates a value for
/// each nesting level, so that a short text can exhaust the memory; the depth
/// is therefore checked before.
/// @returns the value; a discarded one if the text is not JSON or is nested too
///   deeply
nlohmann::json ParseJson(const std::string& text);

}  // namespace almond

#endif  // ALMOND_CORE_JSON_TEXT_H_
