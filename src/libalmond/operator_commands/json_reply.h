#ifndef ALMOND_OPERATOR_COMMANDS_JSON_REPLY_H_
#define ALMOND_OPERATOR_COMMANDS_JSON_REPLY_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace almond {

/// @returns the parsed body, or a discarded value
nlohmann::json ParseReply(const std::string& body);
/// @returns a text member, or an empty text if it is missing or no text
std::string TextMember(const nlohmann::json& object, const std::string& key);
/// @returns a number member, or 0 if it is missing or no whole number
std::uint64_t NumberMember(const nlohmann::json& object,
                           const std::string& key);
/// @returns a flag member, or false if it is missing or no flag
bool FlagMember(const nlohmann::json& object, const std::string& key);
/// @returns an array or object member, or an empty value
const nlohmann::json& Member(const nlohmann::json& object,
                             const std::string& key);

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_JSON_REPLY_H_
