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

/// Five places, all held, the first one by the leader.
std::vector<replica_liveness> HeldPlaces() {
  std::vector<replica_liveness> replicas;
  for (int i = 1; i <= 5; ++i) {
    replicas.push_back(Replica("10.0.0." + std::to_string(i),
                               milliseconds(i == 1 ? 0 : 90), i == 1));
  }
  return replicas;
}

/// @returns a place that is claimed but not yet added
replica_liveness JoiningPlace(const std::string& ip, const std::string& id,
                              milliseconds silent_for) {
  replica_liveness joining = Replica(ip, silent_for);
  joining.address.id = id;
  joining.address.founder = false;
  joining.address.added = true;
  joining.admitted = false;
  return joining;
}

// Guards against processes that wait for ever beside a smaller majority.
TEST_CASE("new place / two processes wait beside held places / one is added") {
  const auto assignment = ChooseNewPlace(HeldPlaces(), At("10.0.0.8"), 2, 9);
  REQUIRE(assignment);
  CHECK(assignment->id == "place-6");
  REQUIRE(assignment->replicas.size() == 6);
  CHECK(assignment->replicas.back().added);
  CHECK_FALSE(assignment->replicas.back().founder);
  CHECK(assignment->replicas.back().peer.port == 0);
}

// Guards against an even number of places, which needs one replica more.
TEST_CASE("new place / number of processes that wait / becomes odd") {
  std::vector<replica_liveness> replicas = HeldPlaces();
  CHECK_FALSE(ChooseNewPlace(replicas, At("10.0.0.8"), 1, 9));
  replicas.push_back(JoiningPlace("10.0.0.6", "place-6", milliseconds(0)));
  CHECK(ChooseNewPlace(replicas, At("10.0.0.8"), 1, 9)->id == "place-7");
  replicas.back().admitted = true;
  CHECK(ChooseNewPlace(replicas, At("10.0.0.8"), 1, 9)->id == "place-7");
  CHECK_FALSE(ChooseNewPlace(replicas, At("10.0.0.8"), 1, 6));
}

// Guards against growth while the successor of a lost replica may still come,
// or while a place of the bootstrap is vacant.
TEST_CASE("new place / place not held / none is added") {
  std::vector<replica_liveness> replicas = HeldPlaces();
  replicas[2].silent_for = kReplicaAbsenceTimeout;
  CHECK_FALSE(ChooseNewPlace(replicas, At("10.0.0.8"), 2, 9));
  replicas = HeldPlaces();
  replicas[4].admitted = false;
  CHECK_FALSE(ChooseNewPlace(replicas, At("10.0.0.8"), 2, 9));
}

// Guards against growth beyond the maximum, without the setting, or of a single
// replica, which would depend on a second one then.
TEST_CASE("new place / maximum reached or single replica / none is added") {
  CHECK_FALSE(ChooseNewPlace(HeldPlaces(), At("10.0.0.8"), 2, 0));
  CHECK_FALSE(ChooseNewPlace(HeldPlaces(), At("10.0.0.8"), 2, 5));
  CHECK_FALSE(ChooseNewPlace(HeldPlaces(), At("10.0.0.8"), 2, 6));
  CHECK_FALSE(ChooseNewPlace({HeldPlaces().front()}, At("10.0.0.8"), 2, 9));
}

// Guards against a place that stays unused after its process has left, or that
// is preferred to one that counts towards the majority.
TEST_CASE("new place / claimant has left / place is claimed again") {
  std::vector<replica_liveness> replicas = HeldPlaces();
  replicas.push_back(JoiningPlace("10.0.0.6", "place-6", kReplicaLossTimeout));
  CHECK_FALSE(ChooseAssignment(replicas, At("10.0.0.8")));
  CHECK_FALSE(ChooseAssignment(replicas, At("10.0.0.6")));
  const auto assignment = ChooseNewPlace(replicas, At("10.0.0.8"), 2, 9);
  REQUIRE(assignment);
  CHECK(assignment->id == "place-6");
  CHECK(assignment->replicas.size() == 6);
  replicas[3].silent_for = kReplicaLossTimeout;
  CHECK(ChooseAssignment(replicas, At("10.0.0.6"))->id == "10.0.0.4");
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

// Guards against growth by a wrong number of processes, or by processes whose
// place is not added yet.
TEST_CASE("replica assignment / processes wait and join / read back") {
  replica_summary joining;
  joining.id = "place-6";
  joining.peer = "10.0.0.6:1";
  joining.control = "10.0.0.6:2";
  joining.founder = false;
  joining.added = true;
  const http_response response =
      ReplicasResponse(config_version(3), "a", {joining}, 2);
  CHECK(ParseWaitingCount(response.body) == 2);
  CHECK(ParseWaitingCount("{}") == 0);
  const auto liveness = ParseReplicaLiveness(response.body);
  REQUIRE(liveness);
  CHECK(liveness->at(0).address.added);
  CHECK_FALSE(liveness->at(0).admitted);
  const socket_address peer{"10.0.0.8", 1};
  CHECK(ParseWaitingQuery(EncodeWaitingQuery(peer)) == peer);
  CHECK_FALSE(ParseWaitingQuery(""));
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

// Guards against an added place that is taken for one of the bootstrap after a
// restart, which would change the majority.
TEST_CASE("replica assignment / saved with an added place / loaded") {
  const temporary_folder folder;
  control_address added = At("10.0.0.6");
  added.id = "place-6";
  added.founder = false;
  added.added = true;
  REQUIRE(bool(SaveAssignment(folder.File("data"), {"place-6", {added}})));
  CHECK(LoadAssignment(folder.File("data")).value()->replicas.at(0) == added);
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
