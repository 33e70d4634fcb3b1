#include "libalmond/config/config_document.h"

#include <nlohmann/json.hpp>

#include "libalmond/core/digest.h"
#include "libalmond/core/json_text.h"

namespace almond {

using nlohmann::json;

std::string config_document::Serialize() const {
  json encoded;
  encoded["base"] = base;
  encoded["overlays"] = json::object();
  for (const auto& [data_centre, text] : overlays) {
    encoded["overlays"][data_centre.Value()] = text;
  }
  return encoded.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<config_document> config_document::Parse(const std::string& text) {
  const json encoded = ParseJson(text);
  if (!encoded.is_object() || !encoded.contains("base") ||
      !encoded["base"].is_string()) {
    return std::nullopt;
  }
  config_document result;
  result.base = encoded["base"].get<std::string>();
  if (!encoded.contains("overlays")) return result;
  if (!encoded["overlays"].is_object()) return std::nullopt;
  for (const auto& [data_centre, overlay] : encoded["overlays"].items()) {
    if (!overlay.is_string()) return std::nullopt;
    result.overlays[data_centre_id(data_centre)] = overlay.get<std::string>();
  }
  return result;
}

std::string config_document::Digest() const { return Sha256({Serialize()}); }

}  // namespace almond
