#include "libalmond/processes/control_process_codec.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "libalmond/core/json_text.h"
#include "libalmond/core/socket_address.h"

namespace almond {
namespace {

using nlohmann::json;

const std::string kWaitingName = "waiting=";

http_response JsonResponse(int status, const json& body) {
  return {status,
          {{"Content-Type", "application/json"}},
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

bool IsUtf8(const std::string& text) {
  try {
    // The default error handler throws on invalid UTF-8.
    return !json(text).dump().empty();
  } catch (const json::type_error&) {
    return false;
  }
}

bool HasOnlyKnownFields(const json& body) {
  for (const auto& [name, value] : body.items()) {
    if (name != "base" && name != "overlays" && name != "expect_version" &&
        name != "change_id") {
      return false;
    }
  }
  return true;
}

const json* FindField(const json& body, const char* name) {
  const auto field = body.find(name);
  return field == body.end() ? nullptr : &*field;
}

bool ReadOverlays(const json* overlays, config_document& document) {
  if (overlays == nullptr) return true;
  if (!overlays->is_object()) return false;
  for (const auto& [data_centre, text] : overlays->items()) {
    if (!text.is_string()) return false;
    document.overlays[data_centre_id(data_centre)] = text.get<std::string>();
  }
  return true;
}

std::optional<change_request> ReadChange(const json& body) {
  if (!body.is_object() || !HasOnlyKnownFields(body)) return std::nullopt;
  const json* base = FindField(body, "base");
  const json* expected = FindField(body, "expect_version");
  const json* change_id = FindField(body, "change_id");
  if (base == nullptr || !base->is_string() || expected == nullptr ||
      !expected->is_number_unsigned() || change_id == nullptr ||
      !change_id->is_string()) {
    return std::nullopt;
  }
  const auto id = uuid::Parse(change_id->get<std::string>());
  change_request request;
  request.document.base = base->get<std::string>();
  request.expected = config_version(expected->get<std::uint64_t>());
  if (!id || !ReadOverlays(FindField(body, "overlays"), request.document)) {
    return std::nullopt;
  }
  request.change_id = *id;
  return request;
}

http_response InvalidResponse(const change_invalid& invalid) {
  json errors = json::array();
  for (const config_error& error : invalid.errors) {
    errors.push_back({{"file", error.file},
                      {"key", error.key},
                      {"expected", error.expected}});
  }
  return JsonResponse(
      422, {{"reason", "invalid-configuration"}, {"errors", errors}});
}

http_response ResultResponse(const change_result& result) {
  json body = {{"version", result.version.Value()}, {"digest", result.digest}};
  switch (result.outcome) {
    case change_outcome::accepted:
      return JsonResponse(200, body);
    case change_outcome::version_conflict:
      body["reason"] = "version-conflict";
      return JsonResponse(409, body);
    case change_outcome::change_id_conflict:
    case change_outcome::not_newer:  // only for versioned configurations
      break;
  }
  return ReasonResponse(409, "change-id-conflict");
}

const char* RoleName(process_role role) {
  return role == process_role::entry ? "entry" : "agent";
}

json ProcessJson(const process_status& process) {
  const heartbeat_message& last = process.heartbeat;
  return {
      {"role", RoleName(last.role)},
      {"id", last.id},
      {"data_centre", last.data_centre.Value()},
      {"http_address", last.http_address},
      {"version", last.version.Value()},
      {"age_ms", std::chrono::duration_cast<milliseconds>(process.age).count()},
      {"leaving", last.leaving}};
}

json ReplicaJson(const replica_summary& replica) {
  json result = {{"id", replica.id},
                 {"role", replica.role},
                 {"admitted", replica.admitted}};
  if (replica.incarnation) {
    // As text, because JSON readers may round large numbers.
    result["incarnation"] = std::to_string(replica.incarnation->Value());
  }
  if (replica.term) result["term"] = *replica.term;
  if (replica.commit_index) result["commit_index"] = *replica.commit_index;
  if (!replica.peer.empty()) {
    result["peer"] = replica.peer;
    result["control"] = replica.control;
  }
  if (!replica.founder) result["founder"] = false;
  if (replica.added) result["added"] = true;
  if (!replica.http.empty()) result["http"] = replica.http;
  if (replica.silent_for) result["silent_ms"] = replica.silent_for->count();
  return result;
}

json StatusJson(config_version newest, const std::string& leader,
                const std::vector<process_status>& processes,
                const std::vector<replica_summary>& replicas) {
  json body = {{"newest", newest.Value()},
               {"leader", leader},
               {"processes", json::array()},
               {"replicas", json::array()}};
  for (const process_status& process : processes) {
    body["processes"].push_back(ProcessJson(process));
  }
  for (const replica_summary& replica : replicas) {
    body["replicas"].push_back(ReplicaJson(replica));
  }
  return body;
}

json ToJson(const replica_address_change& move) {
  return {{"id", move.id},
          {"peer", move.peer},
          {"control", move.control},
          {"http", move.http}};
}

std::optional<replica_address_change> ReadAddressChange(const json& parsed) {
  if (!parsed.is_object()) return std::nullopt;
  replica_address_change move;
  for (const auto& [name, text] : {std::pair("id", &move.id),
                                   {"peer", &move.peer},
                                   {"control", &move.control},
                                   {"http", &move.http}}) {
    const json* field = FindField(parsed, name);
    if (field == nullptr || !field->is_string()) return std::nullopt;
    *text = field->get<std::string>();
  }
  if (!socket_address::Parse(move.peer) ||
      !socket_address::Parse(move.control) ||
      !socket_address::Parse(move.http)) {
    return std::nullopt;
  }
  return move;
}

}  // namespace

http_response ReasonResponse(int status, const std::string& reason) {
  return JsonResponse(status, {{"reason", reason}});
}

http_response NotLeaderResponse(const std::string& leader) {
  return JsonResponse(503, {{"reason", "not-leader"}, {"leader", leader}});
}

std::string EncodeReplicaAddressChange(const replica_address_change& move) {
  return ToJson(move).dump();
}

std::optional<replica_address_change> DecodeReplicaAddressChange(
    const std::string& body) {
  return ReadAddressChange(ParseJson(body));
}

std::string EncodeReplicaClaim(const replica_claim& claim) {
  json body = ToJson(claim.addresses);
  body["expected_peer"] = claim.expected_peer;
  return body.dump();
}

std::optional<replica_claim> DecodeReplicaClaim(const std::string& body) {
  const json parsed = ParseJson(body);
  const auto addresses = ReadAddressChange(parsed);
  if (!addresses) return std::nullopt;
  const json* expected = FindField(parsed, "expected_peer");
  if (expected == nullptr || !expected->is_string()) return std::nullopt;
  return replica_claim{*addresses, expected->get<std::string>()};
}

std::variant<change_request, http_response> ParseChange(
    const std::string& body) {
  if (body.size() > kMaxChangeBytes) {
    return ReasonResponse(413, "body-too-large");
  }
  const json parsed = ParseJson(body);
  if (parsed.is_discarded()) {
    return ReasonResponse(400, IsUtf8(body) ? "bad-json" : "bad-utf8");
  }
  auto change = ReadChange(parsed);
  if (!change) return ReasonResponse(400, "bad-request");
  return std::move(*change);
}

std::variant<config_version, http_response> ParseVersionQuery(
    const std::string& query) {
  if (query.empty()) return config_version(0);
  static constexpr std::string_view kName = "version=";
  std::uint64_t version = 0;
  const char* end = query.data() + query.size();
  const bool named = query.compare(0, kName.size(), kName) == 0;
  const auto parsed =
      std::from_chars(query.data() + (named ? kName.size() : 0), end, version);
  if (!named || parsed.ec != std::errc() || parsed.ptr != end || version == 0) {
    return ReasonResponse(400, "bad-request");
  }
  return config_version(version);
}

http_response ChangeResponse(const change_answer& answer,
                             const std::string& leader) {
  if (const auto* result = std::get_if<change_result>(&answer)) {
    return ResultResponse(*result);
  }
  if (const auto* invalid = std::get_if<change_invalid>(&answer)) {
    return InvalidResponse(*invalid);
  }
  if (std::holds_alternative<change_not_leader>(answer)) {
    return NotLeaderResponse(leader);
  }
  return ReasonResponse(504, "outcome-unknown");
}

http_response ConfigResponse(const config_store& store,
                             config_version version) {
  if (version.Value() == 0) version = store.Newest();
  config_document document;
  if (version.Value() != 0) {
    const std::string* text = store.Document(version);
    if (text == nullptr) return ReasonResponse(404, "unknown-version");
    document = config_document::Parse(*text).value_or(config_document());
  }
  json overlays = json::object();
  for (const auto& [data_centre, text] : document.overlays) {
    overlays[data_centre.Value()] = text;
  }
  return JsonResponse(200, {{"version", version.Value()},
                            {"digest", store.Digest(version)},
                            {"base", document.base},
                            {"overlays", overlays}});
}

http_response HistoryResponse(const config_store& store) {
  json changes = json::array();
  for (const config_history_entry& change : store.History()) {
    changes.push_back({{"version", change.version.Value()},
                       {"digest", change.digest},
                       {"change_id", change.change_id.ToString()},
                       {"accepted_ms", std::chrono::floor<milliseconds>(
                                           change.accepted.time_since_epoch())
                                           .count()}});
  }
  return JsonResponse(200, {{"changes", changes}});
}

json EvacuationsJson(const evacuation_list& list) {
  json names = json::array();
  for (const data_centre_id& name : list.data_centres) {
    names.push_back(name.Value());
  }
  return {{"revision", list.revision.Value()}, {"data_centres", names}};
}

http_response StatusResponse(config_version newest, const std::string& leader,
                             const std::vector<process_status>& processes,
                             const std::vector<replica_summary>& replicas,
                             const evacuation_list& evacuations) {
  json body = StatusJson(newest, leader, processes, replicas);
  if (evacuations.revision.Value() != 0) {
    body["evacuations"] = EvacuationsJson(evacuations);
  }
  return JsonResponse(200, body);
}

http_response ReplicasResponse(config_version newest, const std::string& leader,
                               const std::vector<replica_summary>& replicas,
                               std::size_t waiting) {
  json body = StatusJson(newest, leader, {}, replicas);
  body["waiting"] = waiting;
  return JsonResponse(200, body);
}

std::string EncodeWaitingQuery(const socket_address& peer) {
  return kWaitingName + peer.ToString();
}

std::optional<socket_address> ParseWaitingQuery(const std::string& query) {
  if (query.rfind(kWaitingName, 0) != 0) return std::nullopt;
  return socket_address::Parse(query.substr(kWaitingName.size()));
}

}  // namespace almond
