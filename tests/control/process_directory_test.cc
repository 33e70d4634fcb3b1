#include "libalmond/controllers/control/process_directory.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

class process_directory_fixture {
 protected:
  void SendHeartbeat(const std::string& id, std::uint64_t incarnation = 1,
                     const std::string& data_centre = "nl-west-1",
                     bool leaving = false,
                     process_role role = process_role::entry,
                     const std::string& endpoint_kind = "") {
    heartbeat_message beat;
    beat.role = role;
    beat.id = id;
    beat.incarnation = incarnation_id(incarnation);
    beat.data_centre = data_centre_id(data_centre);
    beat.leaving = leaving;
    beat.endpoint_kind = endpoint_kind;
    directory_.RecordHeartbeat(beat);
  }
  void SendAgentHeartbeat(const std::string& id, const std::string& kind) {
    SendHeartbeat(id, 1, "nl-west-1", false, process_role::agent, kind);
  }
  // Advances the clock while the given entries keep sending heartbeats.
  void AdvanceClock(milliseconds time,
                    const std::vector<std::string>& live_ids = {}) {
    for (; time.count() > 0; time -= milliseconds(500)) {
      clock_.Advance(std::min(time, milliseconds(500)));
      for (const std::string& id : live_ids) SendHeartbeat(id);
    }
  }
  static ledger_owner Owner(const std::string& id, std::uint64_t run = 1) {
    return {entry_id(id), incarnation_id(run)};
  }

  manual_clock clock_;
  process_directory directory_{clock_};
};

// Guards against traffic to a dead entry and against takeover from a live one.
TEST_CASE_METHOD(
    process_directory_fixture,
    "process directory / silent entry / first not live and then dead") {
  AdvanceClock(milliseconds(5000), {"e1", "e2"});
  AdvanceClock(milliseconds(2999), {"e2"});
  CHECK(directory_.LiveEntries().size() == 2);
  AdvanceClock(milliseconds(1), {"e2"});
  CHECK(directory_.LiveEntries().size() == 1);
  CHECK_FALSE(directory_.IsOwnerDead(Owner("e1")));
  AdvanceClock(milliseconds(1000), {"e2"});
  CHECK(directory_.IsOwnerDead(Owner("e1")));
  CHECK_FALSE(directory_.IsOwnerDead(Owner("e2")));
}

// Guards against a new leader that takes over jobs of owners whose heartbeats
// it has not received yet.
TEST_CASE_METHOD(process_directory_fixture,
                 "process directory / new leader / no owner is dead for 4 s") {
  SendHeartbeat("e1", 2);
  AdvanceClock(milliseconds(10000));
  directory_.RestartGracePeriod();
  AdvanceClock(milliseconds(3999));
  CHECK_FALSE(directory_.IsOwnerDead(Owner("e1")));
  CHECK_FALSE(directory_.IsOwnerDead(Owner("never-seen")));
  AdvanceClock(milliseconds(1));
  CHECK(directory_.IsOwnerDead(Owner("e1")));
  CHECK(directory_.IsOwnerDead(Owner("never-seen")));
}

// Guards against a takeover that waits for the owner timeout although the entry
// has restarted, and against a delayed heartbeat that revives the earlier
// incarnation.
TEST_CASE_METHOD(
    process_directory_fixture,
    "process directory / restarted entry / earlier incarnation is dead") {
  AdvanceClock(milliseconds(5000), {"e1"});
  SendHeartbeat("e1", 2);
  CHECK(directory_.IsOwnerDead(Owner("e1", 1)));
  SendHeartbeat("e1", 1);
  CHECK(directory_.IsOwnerDead(Owner("e1", 1)));
  CHECK_FALSE(directory_.IsOwnerDead(Owner("e1", 2)));
  CHECK(directory_.LiveEntries().front().incarnation == incarnation_id(2));
}

// Guards against an entry that stays excluded because its new incarnation is
// lower than the previous one.
TEST_CASE_METHOD(
    process_directory_fixture,
    "process directory / lower incarnation after silence / is accepted") {
  SendHeartbeat("e1", 9);
  AdvanceClock(milliseconds(3000));
  SendHeartbeat("e1", 4);
  CHECK(directory_.LiveEntries().front().incarnation == incarnation_id(4));
}

// Guards against takeover by an agent, by an entry that is leaving, or by one
// in another data centre while the owner's has a live entry.
TEST_CASE_METHOD(
    process_directory_fixture,
    "process directory / successors / live ones in the data centre first") {
  SendHeartbeat("e1");
  AdvanceClock(milliseconds(5000));
  SendHeartbeat("e2", 1, "nl-west-2");
  SendHeartbeat("e3", 1, "nl-west-1", /*leaving=*/true);
  SendHeartbeat("a1", 1, "nl-west-1", false, process_role::agent);
  CHECK(directory_.Successors(Owner("e1")) == std::vector{Owner("e2")});
  SendHeartbeat("e4");
  CHECK(directory_.Successors(Owner("e1")) == std::vector{Owner("e4")});
  SendHeartbeat("e1", 2);
  CHECK(directory_.Successors(Owner("e1")).size() == 2);
  CHECK(directory_.Processes().size() == 5);
}

// Guards against a process that is not told of a new or restarted entry, and
// against a list that is sent again although it has not changed.
TEST_CASE_METHOD(process_directory_fixture,
                 "process directory / live processes / digest changes with the "
                 "list only") {
  SendHeartbeat("e1");
  const std::uint64_t first = directory_.LiveProcesses().entries_digest;
  CHECK(first != 0);
  SendHeartbeat("e1");
  SendHeartbeat("a1", 1, "nl-west-1", false, process_role::agent);
  CHECK(directory_.LiveProcesses().entries_digest == first);
  SendHeartbeat("e2");
  CHECK(directory_.LiveProcesses().entries.size() == 2);
  const std::uint64_t second = directory_.LiveProcesses().entries_digest;
  CHECK(second != first);
  SendHeartbeat("e2", 2);
  CHECK(directory_.LiveProcesses().entries_digest != second);
  AdvanceClock(process_directory::kLivenessTimeout, {"e1"});
  CHECK(directory_.LiveProcesses().entries.size() == 1);
  CHECK(directory_.LiveProcesses().entries_digest == first);
}

// Guards against agents that take the few that a new leader has heard from for
// all agents.
TEST_CASE_METHOD(process_directory_fixture,
                 "process directory / alike agents / live ones of the kind, "
                 "unknown to a new leader") {
  SendAgentHeartbeat("a1", "s 16");
  CHECK(directory_.AlikeAgents("s 16") == 0);
  AdvanceClock(process_directory::kLivenessTimeout);
  SendAgentHeartbeat("a2", "s 16");
  SendAgentHeartbeat("a3", "s 16");
  SendAgentHeartbeat("a4", "s 64");
  SendAgentHeartbeat("a5", "");
  CHECK(directory_.AlikeAgents("s 16") == 2);
  CHECK(directory_.AlikeAgents("s 64") == 1);
  CHECK(directory_.AlikeAgents("t 16") == 0);
  CHECK(directory_.AlikeAgents("") == 0);
  directory_.RestartGracePeriod();
  CHECK(directory_.AlikeAgents("s 16") == 0);
}

}  // namespace
}  // namespace almond
