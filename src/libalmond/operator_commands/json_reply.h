#ifndef ALMOND_OPERATOR_COMMANDS_JSON_REPLY_H_
#define ALMOND_OPERATOR_COMMANDS_JSON_REPLY_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace almond {

/// @returns the parsed body, or a discarded value if it is not JSON
nlohmann::json ParseReply(const std::string& body);
/// @returns a string member, or an empty string if it is missing or of another
///   type
std::string TextMember(const nlohmann::json& object, const std::string& key);
/// @returns a number member, or 0 if it is missing or not a non-negative
///   integer
std::uint64_t NumberMember(const nlohmann::json& object,
                           const std::string& key);
/// @returns a boolean member, or false if it is missing or of another type
bool BooleanMember(const nlohmann::json& object, const std::string& key);
/// @returns a member of any type, or null if it is missing
const nlohmann::json& Member(const nlohmann::json& object,
                             const std::string& key);

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_JSON_REPLY_H_
