#include "libalmond/processes/control_process_settings.h"

#include <algorithm>
#include <utility>

namespace almond {
namespace {

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (std::size_t start = 0;;) {
    const std::size_t end = text.find(separator, start);
    parts.push_back(text.substr(start, end - start));
    if (end == std::string_view::npos) return parts;
    start = end + 1;
  }
}

std::optional<control_address> ParseReplica(std::string_view text) {
  const std::size_t equals = text.find('=');
  if (equals == 0 || equals == std::string_view::npos) return std::nullopt;
  const auto parts = Split(text.substr(equals + 1), '/');
  if (parts.size() < 2 || parts.size() > 3) return std::nullopt;
  const auto peer = socket_address::Parse(parts[0]);
  const auto control = socket_address::Parse(parts[1]);
  if (!peer || !control) return std::nullopt;
  control_address result{std::string(text.substr(0, equals)), *peer, *control,
                         std::nullopt};
  if (parts.size() == 2) return result;
  result.http = socket_address::Parse(parts[2]);
  return result.http ? std::optional(std::move(result)) : std::nullopt;
}

}  // namespace

std::optional<std::vector<control_address>> ParseReplicas(
    std::string_view text) {
  std::vector<control_address> result;
  for (const std::string_view part : Split(text, ',')) {
    auto replica = ParseReplica(part);
    if (!replica) return std::nullopt;
    const bool repeated =
        std::any_of(result.begin(), result.end(),
                    [&](const auto& other) { return other.id == replica->id; });
    if (repeated) return std::nullopt;
    result.push_back(std::move(*replica));
  }
  return result;
}

std::vector<data_centre_id> ParseDataCentres(std::string_view text) {
  std::vector<data_centre_id> result;
  for (const std::string_view part : Split(text, ',')) {
    if (!part.empty()) result.emplace_back(std::string(part));
  }
  return result;
}

}  // namespace almond
