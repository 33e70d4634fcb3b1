#include "libalmond/processes/replica_assignment.h"

#include <algorithm>
#include <boost/leaf.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <utility>

#include "libalmond/core/json_text.h"
#include "libalmond/core/logging.h"
#include "libalmond/processes/control_process_codec.h"
#include "libalmond/replication/replica.h"
#include "libalmond/storage/checksummed_file.h"
#include "libalmond/storage/storage_error.h"

namespace almond {
namespace {

using nlohmann::json;
namespace leaf = boost::leaf;

std::string AssignmentPath(const std::string& data_dir) {
  return data_dir + "/replicas";
}

/// @returns true for a place that is claimed but not yet added to the log; it
///   does not count towards a majority
bool IsJoining(const replica_liveness& replica) {
  return replica.address.added && !replica.admitted;
}

bool IsPresent(const replica_liveness& replica) {
  return replica.is_leader || replica.silent_for < kReplicaAbsenceTimeout;
}

std::string UnusedPlaceId(const std::vector<replica_liveness>& replicas) {
  for (std::size_t number = replicas.size() + 1;; ++number) {
    std::string id = "place-" + std::to_string(number);
    const bool used = std::any_of(
        replicas.begin(), replicas.end(),
        [&id](const auto& other) { return other.address.id == id; });
    if (!used) return id;
  }
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
  const auto founder = body.find("founder");
  address.founder = founder == body.end() || *founder != json(false);
  const auto added = body.find("added");
  address.added = added != body.end() && *added == json(true);
  const bool vacant = !address.founder && !body.contains("peer");
  if (vacant && !address.id.empty()) return address;
  const auto peer = socket_address::Parse(TextField(body, "peer"));
  const auto control = socket_address::Parse(TextField(body, "control"));
  if (address.id.empty() || !peer || !control) return std::nullopt;
  address.peer = *peer;
  address.control = *control;
  address.http = socket_address::Parse(TextField(body, "http"));
  return address;
}

json ToJson(const control_address& address) {
  json body = {{"id", address.id}};
  if (!address.founder) body["founder"] = false;
  if (address.added) body["added"] = true;
  if (address.peer.port == 0) return body;
  body["peer"] = address.peer.ToString();
  body["control"] = address.control.ToString();
  if (address.http) body["http"] = address.http->ToString();
  return body;
}

}  // namespace

std::size_t ReplicaCount(std::size_t tolerated_losses, std::size_t founders) {
  const std::size_t wanted = std::max(2 * tolerated_losses + 1, founders);
  // An even number of replicas tolerates no more losses than one less.
  const std::size_t odd = wanted + (wanted % 2 == 0 ? 1 : 0);
  return std::min(odd, 2 * founders - 1);
}

void AddVacantPlaces(std::size_t replicas, replica_assignment& assignment) {
  while (assignment.replicas.size() < replicas) {
    control_address& place = assignment.replicas.emplace_back();
    place.id = "place-" + std::to_string(assignment.replicas.size());
    place.founder = false;
  }
}

std::optional<replica_assignment> ChooseAssignment(
    const std::vector<replica_liveness>& replicas, const control_address& own) {
  const replica_liveness* chosen = nullptr;
  for (const replica_liveness& replica : replicas) {
    if (IsJoining(replica)) continue;
    if (replica.address.peer == own.peer) {
      chosen = &replica;
      break;
    }
    const bool vacant = replica.address.peer.port == 0;
    const bool lost =
        !replica.is_leader && replica.silent_for >= kReplicaLossTimeout;
    if (!vacant && !lost) continue;
    const bool chosen_vacant =
        chosen != nullptr && chosen->address.peer.port == 0;
    if (chosen == nullptr || (vacant && !chosen_vacant) ||
        (vacant == chosen_vacant && replica.silent_for > chosen->silent_for)) {
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

std::optional<replica_assignment> ChooseNewPlace(
    const std::vector<replica_liveness>& replicas, const control_address& own,
    std::size_t waiting, std::size_t max_places) {
  std::size_t places = 0;
  std::size_t joining = 0;
  const replica_liveness* abandoned = nullptr;
  replica_assignment result;
  for (const replica_liveness& replica : replicas) {
    result.replicas.push_back(replica.address);
    const bool is_own = replica.address.peer == own.peer;
    if (!IsJoining(replica)) {
      if (!replica.admitted || !IsPresent(replica)) return std::nullopt;
      ++places;
    } else if (is_own || replica.silent_for >= kReplicaLossTimeout) {
      if (abandoned == nullptr || is_own) abandoned = &replica;
    } else {
      ++joining;
    }
  }
  const std::size_t missing = places % 2 == 0 ? 1 : 2;
  if (places < replica::kMinGrownPlaces || places + missing > max_places ||
      places + joining >= max_places || waiting + joining < missing) {
    return std::nullopt;
  }
  if (abandoned != nullptr) {
    result.id = abandoned->address.id;
    return result;
  }
  result.id = UnusedPlaceId(replicas);
  control_address& place = result.replicas.emplace_back();
  place.id = result.id;
  place.founder = false;
  place.added = true;
  return result;
}

std::size_t ParseWaitingCount(const std::string& status) {
  const json body = ParseJson(status);
  if (!body.is_object()) return 0;
  const auto waiting = body.find("waiting");
  return waiting != body.end() && waiting->is_number_unsigned()
             ? waiting->get<std::size_t>()
             : 0;
}

std::optional<std::vector<replica_liveness>> ParseReplicaLiveness(
    const std::string& status) {
  const json body = ParseJson(status);
  if (!body.is_object() || !body.contains("replicas") ||
      !body["replicas"].is_array()) {
    return std::nullopt;
  }
  std::vector<replica_liveness> replicas;
  for (const json& replica : body["replicas"]) {
    const auto address = ParseAddress(replica);
    if (!address) return std::nullopt;
    replica_liveness liveness{*address, TextField(replica, "role") == "leader",
                              milliseconds(0), true};
    const auto silent_for = replica.find("silent_ms");
    if (silent_for != replica.end() && silent_for->is_number_integer()) {
      liveness.silent_for = milliseconds(silent_for->get<std::int64_t>());
    }
    const auto admitted = replica.find("admitted");
    liveness.admitted = admitted == replica.end() || *admitted != json(false);
    replicas.push_back(std::move(liveness));
  }
  return replicas;
}

leaf::result<std::optional<replica_assignment>> LoadAssignment(
    const std::string& data_dir) {
  auto content = leaf::try_handle_some(
      [&] { return checksummed_file::Read(AssignmentPath(data_dir)); },
      [](const storage_error& error)
          -> leaf::result<std::optional<std::string>> {
        if (error.temporary) return leaf::new_error(error);
        LOG(ERROR) << "ignoring the stored replica assignment: "
                   << error.ToString();
        return std::optional<std::string>();
      });
  if (!content) return content.error();
  if (!*content) return std::optional<replica_assignment>();
  const json body = ParseJson(**content);
  if (!body.is_object() || !body.contains("replicas")) {
    return std::optional<replica_assignment>();
  }
  replica_assignment assignment;
  assignment.id = TextField(body, "id");
  for (const json& replica : body["replicas"]) {
    const auto address = ParseAddress(replica);
    if (!address) return std::optional<replica_assignment>();
    assignment.replicas.push_back(*address);
  }
  return std::optional(std::move(assignment));
}

leaf::result<void> SaveAssignment(const std::string& data_dir,
                                  const replica_assignment& assignment) {
  json body = {{"id", assignment.id}, {"replicas", json::array()}};
  for (const control_address& replica : assignment.replicas) {
    body["replicas"].push_back(ToJson(replica));
  }
  std::error_code failure;
  std::filesystem::create_directories(data_dir, failure);
  return checksummed_file::Write(AssignmentPath(data_dir), body.dump());
}

assignment_finder::assignment_finder(event_loop& loop,
                                     const clock_interface& clock,
                                     control_address own,
                                     std::vector<socket_address> http_addresses,
                                     hooks callbacks, place_growth growth)
    : loop_(loop),
      clock_(clock),
      own_(std::move(own)),
      http_addresses_(std::move(http_addresses)),
      hooks_(std::move(callbacks)),
      growth_(growth) {
  SchedulePoll(kSearchPeriod);
}

void assignment_finder::SchedulePoll(milliseconds delay) {
  timer_ = loop_.After(delay, [this] { RequestReplicas(); });
}

socket_address assignment_finder::NextAddress() {
  if (leader_ && leader_->http) return *leader_->http;
  if (redirect_) return *std::exchange(redirect_, std::nullopt);
  // The configured processes may all be without a place, so the replicas that
  // were known last are asked too.
  const std::size_t next =
      next_address_++ % (replicas_.size() + http_addresses_.size());
  if (next >= replicas_.size()) return http_addresses_[next - replicas_.size()];
  return replicas_[next].http.value_or(http_addresses_.front());
}

void assignment_finder::RequestReplicas() {
  const bool may_grow = hooks_.on_claimed && growth_.max_places != 0;
  SendHttpRequest(
      loop_, NextAddress(),
      {"GET",
       "/v1/replicas" + (may_grow ? "?" + EncodeWaitingQuery(own_.peer) : ""),
       "",
       {},
       ""},
      kPollTimeout,
      [this, alive = std::weak_ptr(alive_)](const http_call_result& result) {
        if (!alive.expired()) OnReplicas(result);
      });
}

void assignment_finder::OnReplicas(const http_call_result& result) {
  leader_.reset();
  const bool answered = result.outcome == http_call_outcome::answered;
  const auto replicas = answered && result.response.status == 200
                            ? ParseReplicaLiveness(result.response.body)
                            : std::nullopt;
  if (!replicas) {
    if (answered) {
      const json body = ParseJson(result.response.body);
      if (body.is_object()) {
        redirect_ = socket_address::Parse(TextField(body, "leader"));
      }
    }
    SchedulePoll(kSearchPeriod);
    return;
  }
  std::vector<control_address> addresses;
  for (const replica_liveness& replica : *replicas) {
    addresses.push_back(replica.address);
    if (replica.is_leader) leader_ = replica.address;
  }
  if (addresses != replicas_) {
    replicas_ = std::move(addresses);
    if (hooks_.on_replicas) hooks_.on_replicas(replicas_);
  }
  auto assignment =
      ChoosePlace(*replicas, ParseWaitingCount(result.response.body));
  if (assignment) {
    Claim(std::move(*assignment));
  } else {
    SchedulePoll(kIdlePeriod);
  }
}

std::optional<replica_assignment> assignment_finder::ChoosePlace(
    const std::vector<replica_liveness>& replicas, std::size_t waiting) {
  if (!hooks_.on_claimed) return std::nullopt;
  if (auto present = ChooseAssignment(replicas, own_)) return present;
  auto added = ChooseNewPlace(replicas, own_, waiting, growth_.max_places);
  if (!added) {
    growth_possible_since_.reset();
    return std::nullopt;
  }
  const steady_time now = clock_.SteadyNow();
  if (!growth_possible_since_) growth_possible_since_ = now;
  if (now - *growth_possible_since_ < growth_.delay) return std::nullopt;
  return added;
}

void assignment_finder::Claim(replica_assignment assignment) {
  const auto place = std::find_if(
      assignment.replicas.begin(), assignment.replicas.end(),
      [&](const auto& other) { return other.id == assignment.id; });
  replica_claim claim;
  claim.addresses = {assignment.id, own_.peer.ToString(),
                     own_.control.ToString(),
                     own_.http ? own_.http->ToString() : ""};
  if (place->peer.port != 0) claim.expected_peer = place->peer.ToString();
  place->peer = own_.peer;
  place->control = own_.control;
  place->http = own_.http;
  if (!leader_ || !leader_->http) {
    SchedulePoll(kSearchPeriod);
    return;
  }
  SendHttpRequest(
      loop_, *leader_->http,
      {"POST", "/v1/replicas/claim", "", {}, EncodeReplicaClaim(claim)},
      kPollTimeout,
      [this, assignment,
       alive = std::weak_ptr(alive_)](const http_call_result& result) {
        if (!alive.expired()) OnClaimed(assignment, result);
      });
}

void assignment_finder::OnClaimed(const replica_assignment& assignment,
                                  const http_call_result& result) {
  if (result.outcome != http_call_outcome::answered ||
      result.response.status != 200) {
    SchedulePoll(kSearchPeriod);
    return;
  }
  LOG(INFO) << "claimed the place of replica " << assignment.id;
  std::exchange(hooks_.on_claimed, nullptr)(assignment);
}

}  // namespace almond
