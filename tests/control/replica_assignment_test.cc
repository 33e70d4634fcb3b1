#include "libalmond/processes/replica_assignment.h"

#include <catch2/catch.hpp>

#include "libalmond/controllers/control/command_codec.h"
#include "libalmond/controllers/control/control_state_machine.h"
#include "libalmond/processes/control_process_codec.h"
#include "storage/temporary_folder.h"

namespace almond {
namespace {

replica_liveness Replica(const std::string& ip, milliseconds silent_for,
                         bool is_leader = false) {
  return {{ip, {ip, 1}, {ip, 2}, socket_address{ip, 3}}, is_leader, silent_for};
}

control_address At(const std::string& ip) {
  return {"", {ip, 1}, {ip, 2}, socket_address{ip, 3}};
}

// Guards against a new process that is assigned the place of a live replica.
TEST_CASE("replica assignment / all replicas live / none is assigned") {
  const std::vector<replica_liveness> replicas = {
      Replica("10.0.0.1", milliseconds(0), true),
      Replica("10.0.0.2", milliseconds(100)),
      Replica("10.0.0.3", milliseconds(2900))};
  CHECK_FALSE(ChooseAssignment(replicas, At("10.0.0.9")));
}

// Guards against a new process that replaces the leader, or a replica that was
// heard more recently than another one.
TEST_CASE(
    "replica assignment / silent replicas / longest silent follower is "
    "assigned") {
  const std::vector<replica_liveness> replicas = {
      Replica("10.0.0.1", milliseconds(9000), true),
      Replica("10.0.0.2", milliseconds(4000)),
      Replica("10.0.0.3", milliseconds(5000))};
  const auto assignment = ChooseAssignment(replicas, At("10.0.0.9"));
  REQUIRE(assignment);
  CHECK(assignment->id == "10.0.0.3");
  CHECK(assignment->replicas.size() == 3);
}

// Guards against a replica with an emptied disk that gets another replica's
// place. No other process can run at its address.
TEST_CASE("replica assignment / empty folder at a known address / own id") {
  const std::vector<replica_liveness> replicas = {
      Replica("10.0.0.1", milliseconds(0), true),
      Replica("10.0.0.2", milliseconds(100)),
      Replica("10.0.0.3", milliseconds(9000))};
  CHECK(ChooseAssignment(replicas, At("10.0.0.2"))->id == "10.0.0.2");
}

// Guards against a vacant place that is left empty while a lost replica, whose
// disk may return, is replaced.
TEST_CASE("replica assignment / vacant place and lost replica / vacant first") {
  replica_liveness vacant;
  vacant.address.id = "place-4";
  vacant.address.founder = false;
  const std::vector<replica_liveness> replicas = {
      Replica("10.0.0.1", milliseconds(0), true),
      Replica("10.0.0.2", milliseconds(9000)), vacant};
  const auto assignment = ChooseAssignment(replicas, At("10.0.0.9"));
  REQUIRE(assignment);
  CHECK(assignment->id == "place-4");
  CHECK_FALSE(assignment->replicas.at(2).founder);
}

// Guards against a cluster that cannot bear the losses it was configured for.
TEST_CASE("replica count / tolerated losses / a majority remains") {
  CHECK(ReplicaCount(0, 1) == 1);
  CHECK(ReplicaCount(1, 3) == 3);
  CHECK(ReplicaCount(2, 3) == 5);
  CHECK(ReplicaCount(1, 2) == 3);
  CHECK(ReplicaCount(0, 3) == 3);
  // Three founders are no majority of seven replicas.
  CHECK(ReplicaCount(3, 3) == 5);
  replica_assignment assignment{"10.0.0.1", {At("10.0.0.1")}};
  AddVacantPlaces(3, assignment);
  CHECK(assignment.replicas.size() == 3);
  CHECK(assignment.replicas.at(2).id == "place-3");
}

// Guards against a status that is parsed with wrong values, and against other
// responses that are taken for the status of a leader.
TEST_CASE("replica assignment / status of a leader / read back") {
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
  replicas[1].silent_for = milliseconds(77);
  const http_response response =
      StatusResponse(config_version(3), "a", {}, replicas);
  const auto liveness = ParseReplicaLiveness(response.body);
  REQUIRE(liveness);
  REQUIRE(liveness->size() == 2);
  CHECK(liveness->at(0).is_leader);
  CHECK(liveness->at(1).silent_for == milliseconds(77));
  CHECK(liveness->at(1).address.peer == socket_address{"10.0.0.2", 1});
  CHECK_FALSE(ParseReplicaLiveness("{\"reason\":\"not-leader\"}"));
  CHECK_FALSE(ParseReplicaLiveness("nothing"));
}

// Guards against an assignment that is lost at a restart, or that is loaded
// although its addresses have no ids.
TEST_CASE("replica assignment / saved in a folder / loaded") {
  const temporary_folder folder;
  CHECK_FALSE(LoadAssignment(folder.File("data")).value());
  REQUIRE(bool(SaveAssignment(folder.File("data"),
                              {"b", {At("10.0.0.1"), At("10.0.0.2")}})));
  CHECK_FALSE(
      LoadAssignment(folder.File("data")).value());  // addresses have no ids
  control_address named = At("10.0.0.1");
  named.id = "b";
  REQUIRE(bool(SaveAssignment(folder.File("data"), {"b", {named}})));
  const auto assignment = LoadAssignment(folder.File("data")).value();
  REQUIRE(assignment);
  CHECK(assignment->id == "b");
  CHECK(assignment->replicas.at(0) == named);
}

// Guards against a vacant place that gets lost when an assignment is stored.
TEST_CASE("replica assignment / saved with a vacant place / loaded") {
  const temporary_folder folder;
  control_address founder = At("10.0.0.1");
  founder.id = "a";
  replica_assignment assignment{"a", {founder}};
  AddVacantPlaces(3, assignment);
  REQUIRE(bool(SaveAssignment(folder.File("data"), assignment)));
  const auto loaded = LoadAssignment(folder.File("data")).value();
  REQUIRE(loaded);
  CHECK(loaded->replicas == assignment.replicas);
}

// Guards against two processes that take over the same place.
TEST_CASE("replica claim / two processes / first one gets the place") {
  manual_clock clock;
  control_state_machine machine;
  const auto claim = [&](const std::string& ip, const std::string& expected) {
    const replica_claim body{{"place-4", ip + ":1", ip + ":2", ip + ":3"},
                             expected};
    CHECK(DecodeReplicaClaim(EncodeReplicaClaim(body)) == body);
    const auto result =
        DecodeResult(machine.Apply(EncodeCommand({clock.WallNow(), body})));
    REQUIRE(result);
    return std::get<replica_claim_result>(*result).accepted;
  };
  CHECK(claim("10.0.0.8", ""));
  CHECK_FALSE(claim("10.0.0.9", ""));
  CHECK(claim("10.0.0.8", ""));  // the answer was lost
  CHECK(claim("10.0.0.9", "10.0.0.8:1"));
  CHECK(machine.MovedReplicas().at("place-4").peer == "10.0.0.9:1");
}

// Guards against replicas that cannot reach each other after two were replaced
// at new addresses.
TEST_CASE(
    "replica address change / committed and restored / address is known") {
  manual_clock clock;
  control_state_machine machine;
  const replica_address_change move{"b", "10.0.0.9:1", "10.0.0.9:2",
                                    "10.0.0.9:3"};
  CHECK(DecodeReplicaAddressChange(EncodeReplicaAddressChange(move)) == move);
  CHECK_FALSE(DecodeReplicaAddressChange("{\"id\":\"b\"}"));
  const std::string result =
      machine.Apply(EncodeCommand({clock.WallNow(), move}));
  CHECK(DecodeResult(result));
  control_state_machine restored;
  REQUIRE(restored.Restore(machine.Snapshot()));
  CHECK(restored.MovedReplicas().at("b") == move);
}

}  // namespace
}  // namespace almond
