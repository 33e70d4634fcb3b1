#include "libalmond/processes/endpoint_codec.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace almond {
namespace {

using nlohmann::json;

constexpr std::uint32_t kMaxSlots = 4096;
constexpr std::string_view kUrlPrefix = "http://";

bool ReadCount(const json& object, const char* key, std::uint32_t maximum,
               std::uint32_t& value) {
  if (!object.contains(key)) return true;
  const json& field = object[key];
  if (!field.is_number_unsigned()) return false;
  const auto number = field.get<std::uint64_t>();
  if (number > maximum) return false;
  value = static_cast<std::uint32_t>(number);
  return true;
}

std::optional<socket_address> ParseUrl(const json& object) {
  if (!object.contains("url") || !object["url"].is_string()) {
    return std::nullopt;
  }
  std::string url = object["url"].get<std::string>();
  if (url.rfind(kUrlPrefix, 0) != 0) return std::nullopt;
  url.erase(0, kUrlPrefix.size());
  if (!url.empty() && url.back() == '/') url.pop_back();
  return socket_address::Parse(url);
}

bool ReadControls(const json& object, endpoint_controls& controls) {
  if (!object.contains("controls")) return true;
  if (!object["controls"].is_array()) return false;
  bool resume = false;
  bool pause = false;
  for (const json& control : object["controls"]) {
    if (!control.is_string()) return false;
    const auto name = control.get<std::string>();
    if (name == "pause") pause = true;
    if (name == "resume") resume = true;
    if (name == "checkpoint") controls.checkpoint = true;
    if (name == "stop") controls.stop = true;
  }
  controls.pause = pause && resume;
  return true;
}

}  // namespace

std::optional<endpoint_announcement> ParseEndpointAnnouncement(
    const std::string& body) {
  const json object = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!object.is_object()) return std::nullopt;
  endpoint_announcement result;
  if (!object.contains("service") || !object["service"].is_string()) {
    return std::nullopt;
  }
  result.service = service_id(object["service"].get<std::string>());
  const auto address = ParseUrl(object);
  if (!address) return std::nullopt;
  result.address = *address;
  constexpr std::uint32_t kAny = UINT32_MAX;
  if (!ReadCount(object, "slots", kMaxSlots, result.slots) ||
      !ReadCount(object, "cpu_milli", kAny, result.cpu_milli) ||
      !ReadCount(object, "memory_mib", kAny, result.memory_mib) ||
      !ReadControls(object, result.controls)) {
    return std::nullopt;
  }
  if (result.service.Empty() || result.slots == 0) return std::nullopt;
  return result;
}

start_outcome StartOutcome(const http_call_result& result) {
  switch (result.outcome) {
    case http_call_outcome::not_sent:
      return start_outcome::not_sent;
    case http_call_outcome::lost:
      return start_outcome::lost;
    case http_call_outcome::answered:
      break;
  }
  if (result.response.status == 200) return start_outcome::done;
  const std::string outcome =
      HeaderValue(result.response.headers, "Almond-Outcome");
  if (result.response.status == 503 && outcome == "not-run") {
    return start_outcome::refused;
  }
  return start_outcome::failed;
}

}  // namespace almond
