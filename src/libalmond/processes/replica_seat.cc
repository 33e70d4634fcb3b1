#include "libalmond/processes/replica_seat.h"

#include <boost/leaf.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <utility>

#include "libalmond/core/logging.h"
#include "libalmond/storage/snapshot_file.h"
#include "libalmond/storage/storage_error.h"

namespace almond {
namespace {

using nlohmann::json;
namespace leaf = boost::leaf;

std::string SeatPath(const std::string& data_dir) {
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

std::optional<replica_seat> ChooseSeat(const std::vector<seat_state>& seats,
                                       const control_address& own) {
  const seat_state* chosen = nullptr;
  for (const seat_state& seat : seats) {
    if (seat.address.peer == own.peer) {
      chosen = &seat;
      break;
    }
    if (seat.leads || seat.silent < kVacantAfter) continue;
    if (chosen == nullptr || seat.silent > chosen->silent) chosen = &seat;
  }
  if (chosen == nullptr) return std::nullopt;
  replica_seat result;
  result.id = chosen->address.id;
  for (const seat_state& seat : seats) result.replicas.push_back(seat.address);
  return result;
}

std::optional<std::vector<seat_state>> ParseSeats(const std::string& status) {
  const json body = json::parse(status, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object() || !body.contains("replicas") ||
      !body["replicas"].is_array()) {
    return std::nullopt;
  }
  std::vector<seat_state> seats;
  for (const json& replica : body["replicas"]) {
    const auto address = ParseAddress(replica);
    if (!address) return std::nullopt;
    seat_state seat{*address, TextField(replica, "role") == "leader",
                    milliseconds(0)};
    const auto silent = replica.find("silent_ms");
    if (silent != replica.end() && silent->is_number_integer()) {
      seat.silent = milliseconds(silent->get<std::int64_t>());
    }
    seats.push_back(std::move(seat));
  }
  return seats;
}

std::optional<replica_seat> LoadSeat(const std::string& data_dir) {
  const auto content = leaf::try_handle_all(
      [&] { return snapshot_file::Read(SeatPath(data_dir)); },
      [](const storage_error& error) {
        LOG(ERROR) << "the kept replicas are left out: " << error.ToString();
        return std::optional<std::string>();
      },
      [] { return std::optional<std::string>(); });
  if (!content) return std::nullopt;
  const json body = json::parse(*content, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object() || !body.contains("replicas")) return std::nullopt;
  replica_seat seat;
  seat.id = TextField(body, "id");
  for (const json& replica : body["replicas"]) {
    const auto address = ParseAddress(replica);
    if (!address) return std::nullopt;
    seat.replicas.push_back(*address);
  }
  return seat;
}

bool SaveSeat(const std::string& data_dir, const replica_seat& seat) {
  json body = {{"id", seat.id}, {"replicas", json::array()}};
  for (const control_address& replica : seat.replicas) {
    body["replicas"].push_back(ToJson(replica));
  }
  std::error_code failure;
  std::filesystem::create_directories(data_dir, failure);
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(snapshot_file::Write(SeatPath(data_dir), body.dump()));
        return true;
      },
      [](const storage_error& error) {
        LOG(ERROR) << "the replicas cannot be kept: " << error.ToString();
        return false;
      },
      [] { return false; });
}

seat_finder::seat_finder(event_loop& loop, control_address own,
                         std::vector<socket_address> operators,
                         std::function<void(const replica_seat&)> on_found)
    : loop_(loop),
      own_(std::move(own)),
      operators_(std::move(operators)),
      on_found_(std::move(on_found)) {
  timer_ = loop_.Every(kAskPeriod, [this] { Ask(); });
}

void seat_finder::Ask() {
  if (asking_) return;
  asking_ = true;
  const socket_address to =
      leader_ ? *leader_ : operators_[next_++ % operators_.size()];
  leader_.reset();
  SendHttpRequest(
      loop_, to, {"GET", "/v1/status", "", {}, ""}, kAskTimeout,
      [this, alive = std::weak_ptr(alive_)](const http_call_result& result) {
        if (!alive.expired()) OnAnswer(result);
      });
}

void seat_finder::OnAnswer(const http_call_result& result) {
  asking_ = false;
  if (result.outcome != http_call_outcome::answered || !on_found_) return;
  if (result.response.status != 200) {
    const json body = json::parse(result.response.body, nullptr,
                                  /*allow_exceptions=*/false);
    if (body.is_object()) {
      leader_ = socket_address::Parse(TextField(body, "leader"));
    }
    return;
  }
  const auto seats = ParseSeats(result.response.body);
  const auto seat = seats ? ChooseSeat(*seats, own_) : std::nullopt;
  if (!seat) return;
  LOG(INFO) << "takes the place of replica " << seat->id;
  timer_.Reset();
  std::exchange(on_found_, nullptr)(*seat);
}

}  // namespace almond
