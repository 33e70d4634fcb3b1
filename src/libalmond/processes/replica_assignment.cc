#include "libalmond/processes/replica_assignment.h"

#include <boost/leaf.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <utility>

#include "libalmond/core/logging.h"
#include "libalmond/storage/checksummed_file.h"
#include "libalmond/storage/storage_error.h"

namespace almond {
namespace {

using nlohmann::json;
namespace leaf = boost::leaf;

std::string AssignmentPath(const std::string& data_dir) {
  return data_dir + "/replicas";
}

std::string TextField(const json& body, const char* name) {
  const auto field = body.find(name);
  return field != body.end() && field->is_string() ? field->get<std::string>()
                                                   : std::string();
}

std::optional<control_address> ParseAddress(const json& body) {
  if (!body.is_object()) return std::nullopt;
  control_address address;
  address.id = TextField(body, "id");
  const auto peer = socket_address::Parse(TextField(body, "peer"));
  const auto control = socket_address::Parse(TextField(body, "control"));
  if (address.id.empty() || !peer || !control) return std::nullopt;
  address.peer = *peer;
  address.control = *control;
  address.http = socket_address::Parse(TextField(body, "http"));
  return address;
}

json ToJson(const control_address& address) {
  json body = {{"id", address.id},
               {"peer", address.peer.ToString()},
               {"control", address.control.ToString()}};
  if (address.http) body["http"] = address.http->ToString();
  return body;
}

}  // namespace

std::optional<replica_assignment> ChooseAssignment(
    const std::vector<replica_liveness>& replicas, const control_address& own) {
  const replica_liveness* chosen = nullptr;
  for (const replica_liveness& replica : replicas) {
    if (replica.address.peer == own.peer) {
      chosen = &replica;
      break;
    }
    if (replica.is_leader || replica.silent_for < kReplicaLossTimeout) continue;
    if (chosen == nullptr || replica.silent_for > chosen->silent_for) {
      chosen = &replica;
    }
  }
  if (chosen == nullptr) return std::nullopt;
  replica_assignment result;
  result.id = chosen->address.id;
  for (const replica_liveness& replica : replicas) {
    result.replicas.push_back(replica.address);
  }
  return result;
}

std::optional<std::vector<replica_liveness>> ParseReplicaLiveness(
    const std::string& status) {
  const json body = json::parse(status, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object() || !body.contains("replicas") ||
      !body["replicas"].is_array()) {
    return std::nullopt;
  }
  std::vector<replica_liveness> replicas;
  for (const json& replica : body["replicas"]) {
    const auto address = ParseAddress(replica);
    if (!address) return std::nullopt;
    replica_liveness liveness{*address, TextField(replica, "role") == "leader",
                              milliseconds(0)};
    const auto silent_for = replica.find("silent_ms");
    if (silent_for != replica.end() && silent_for->is_number_integer()) {
      liveness.silent_for = milliseconds(silent_for->get<std::int64_t>());
    }
    replicas.push_back(std::move(liveness));
  }
  return replicas;
}

std::optional<replica_assignment> LoadAssignment(const std::string& data_dir) {
  const auto content = leaf::try_handle_all(
      [&] { return checksummed_file::Read(AssignmentPath(data_dir)); },
      [](const storage_error& error) {
        LOG(ERROR) << "ignoring the stored replica assignment: "
                   << error.ToString();
        return std::optional<std::string>();
      },
      [] { return std::optional<std::string>(); });
  if (!content) return std::nullopt;
  const json body = json::parse(*content, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object() || !body.contains("replicas")) return std::nullopt;
  replica_assignment assignment;
  assignment.id = TextField(body, "id");
  for (const json& replica : body["replicas"]) {
    const auto address = ParseAddress(replica);
    if (!address) return std::nullopt;
    assignment.replicas.push_back(*address);
  }
  return assignment;
}

bool SaveAssignment(const std::string& data_dir,
                    const replica_assignment& assignment) {
  json body = {{"id", assignment.id}, {"replicas", json::array()}};
  for (const control_address& replica : assignment.replicas) {
    body["replicas"].push_back(ToJson(replica));
  }
  std::error_code failure;
  std::filesystem::create_directories(data_dir, failure);
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(
            checksummed_file::Write(AssignmentPath(data_dir), body.dump()));
        return true;
      },
      [](const storage_error& error) {
        LOG(ERROR) << "cannot store the replica assignment: "
                   << error.ToString();
        return false;
      },
      [] { return false; });
}

assignment_finder::assignment_finder(
    event_loop& loop, control_address own,
    std::vector<socket_address> http_addresses,
    std::function<void(const replica_assignment&)> on_found)
    : loop_(loop),
      own_(std::move(own)),
      http_addresses_(std::move(http_addresses)),
      on_found_(std::move(on_found)) {
  timer_ = loop_.Every(kPollPeriod, [this] { RequestStatus(); });
}

void assignment_finder::RequestStatus() {
  if (request_in_flight_) return;
  request_in_flight_ = true;
  const socket_address to =
      leader_ ? *leader_
              : http_addresses_[next_address_++ % http_addresses_.size()];
  leader_.reset();
  SendHttpRequest(
      loop_, to, {"GET", "/v1/status", "", {}, ""}, kPollTimeout,
      [this, alive = std::weak_ptr(alive_)](const http_call_result& result) {
        if (!alive.expired()) OnStatusResponse(result);
      });
}

void assignment_finder::OnStatusResponse(const http_call_result& result) {
  request_in_flight_ = false;
  if (result.outcome != http_call_outcome::answered || !on_found_) return;
  if (result.response.status != 200) {
    const json body = json::parse(result.response.body, nullptr,
                                  /*allow_exceptions=*/false);
    if (body.is_object()) {
      leader_ = socket_address::Parse(TextField(body, "leader"));
    }
    return;
  }
  const auto replicas = ParseReplicaLiveness(result.response.body);
  const auto assignment =
      replicas ? ChooseAssignment(*replicas, own_) : std::nullopt;
  if (!assignment) return;
  LOG(INFO) << "replacing replica " << assignment->id;
  timer_.Reset();
  std::exchange(on_found_, nullptr)(*assignment);
}

}  // namespace almond
