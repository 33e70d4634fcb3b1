#include "libalmond/processes/replica_seat.h"

#include <catch2/catch.hpp>

#include "libalmond/controllers/control/command_codec.h"
#include "libalmond/controllers/control/control_state_machine.h"
#include "libalmond/processes/control_process_codec.h"
#include "storage/temporary_folder.h"

namespace almond {
namespace {

seat_state Seat(const std::string& ip, milliseconds silent,
                bool leads = false) {
  return {{ip, {ip, 1}, {ip, 2}, socket_address{ip, 3}}, leads, silent};
}

control_address At(const std::string& ip) {
  return {"", {ip, 1}, {ip, 2}, socket_address{ip, 3}};
}

// Guards against a new process that takes the place of a live replica.
TEST_CASE("replica seat / all replicas heard / none is vacant") {
  const std::vector<seat_state> seats = {
      Seat("10.0.0.1", milliseconds(0), true),
      Seat("10.0.0.2", milliseconds(100)),
      Seat("10.0.0.3", milliseconds(2900))};
  CHECK_FALSE(ChooseSeat(seats, At("10.0.0.9")));
}

TEST_CASE("replica seat / one replica silent / its place is taken") {
  const std::vector<seat_state> seats = {
      Seat("10.0.0.1", milliseconds(9000), true),
      Seat("10.0.0.2", milliseconds(4000)),
      Seat("10.0.0.3", milliseconds(5000))};
  const auto seat = ChooseSeat(seats, At("10.0.0.9"));
  REQUIRE(seat);
  CHECK(seat->id == "10.0.0.3");
  CHECK(seat->replicas.size() == 3);
}

// A wiped disk: no other process can stand at this address.
TEST_CASE("replica seat / empty folder at a known address / the own place") {
  const std::vector<seat_state> seats = {
      Seat("10.0.0.1", milliseconds(0), true),
      Seat("10.0.0.2", milliseconds(100)),
      Seat("10.0.0.3", milliseconds(9000))};
  CHECK(ChooseSeat(seats, At("10.0.0.2"))->id == "10.0.0.2");
}

TEST_CASE("replica seat / status of a leader / read back") {
  const auto summary = [](const std::string& id, const std::string& role) {
    replica_summary replica;
    replica.id = id;
    replica.role = role;
    const std::string ip = "10.0.0." + std::to_string(id == "a" ? 1 : 2);
    replica.peer = ip + ":1";
    replica.control = ip + ":2";
    replica.http = ip + ":3";
    return replica;
  };
  std::vector<replica_summary> replicas = {summary("a", "leader"),
                                           summary("b", "follower")};
  replicas[1].silent = milliseconds(77);
  const http_response response =
      StatusResponse(config_version(3), "a", {}, replicas);
  const auto seats = ParseSeats(response.body);
  REQUIRE(seats);
  REQUIRE(seats->size() == 2);
  CHECK(seats->at(0).leads);
  CHECK(seats->at(1).silent == milliseconds(77));
  CHECK(seats->at(1).address.peer == socket_address{"10.0.0.2", 1});
  CHECK_FALSE(ParseSeats("{\"reason\":\"not-leader\"}"));
  CHECK_FALSE(ParseSeats("nothing"));
}

TEST_CASE("replica seat / kept in a folder / loaded") {
  const temporary_folder folder;
  CHECK_FALSE(LoadSeat(folder.File("data")));
  REQUIRE(
      SaveSeat(folder.File("data"), {"b", {At("10.0.0.1"), At("10.0.0.2")}}));
  CHECK_FALSE(LoadSeat(folder.File("data")));  // addresses without ids
  control_address named = At("10.0.0.1");
  named.id = "b";
  REQUIRE(SaveSeat(folder.File("data"), {"b", {named}}));
  const auto seat = LoadSeat(folder.File("data"));
  REQUIRE(seat);
  CHECK(seat->id == "b");
  CHECK(seat->replicas.at(0) == named);
}

// Guards against replicas that do not find each other after two were replaced.
TEST_CASE("replica move / committed and in a snapshot / known to all") {
  manual_clock clock;
  control_state_machine machine;
  const replica_moved move{"b", "10.0.0.9:1", "10.0.0.9:2", "10.0.0.9:3"};
  CHECK(DecodeMove(EncodeMove(move)) == move);
  CHECK_FALSE(DecodeMove("{\"id\":\"b\"}"));
  const std::string result =
      machine.Apply(EncodeCommand({clock.WallNow(), move}));
  CHECK(DecodeResult(result));
  control_state_machine restored;
  REQUIRE(restored.Restore(machine.Snapshot()));
  CHECK(restored.Moved().at("b") == move);
}

}  // namespace
}  // namespace almond
