#include "libalmond/operator_commands/json_reply.h"

#include "libalmond/core/json_text.h"

namespace almond {

using nlohmann::json;

json ParseReply(const std::string& body) { return ParseJson(body); }

const json& Member(const json& object, const std::string& key) {
  static const json nothing;
  if (!object.is_object()) return nothing;
  const auto found = object.find(key);
  return found == object.end() ? nothing : *found;
}

std::string TextMember(const json& object, const std::string& key) {
  const json& member = Member(object, key);
  return member.is_string() ? member.get<std::string>() : std::string();
}

std::uint64_t NumberMember(const json& object, const std::string& key) {
  const json& member = Member(object, key);
  return member.is_number_unsigned() ? member.get<std::uint64_t>() : 0;
}

bool BooleanMember(const json& object, const std::string& key) {
  const json& member = Member(object, key);
  return member.is_boolean() && member.get<bool>();
}

}  // namespace almond
