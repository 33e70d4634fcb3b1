#include <catch2/catch.hpp>

#include "control/control_service_fixture.h"

namespace almond {
namespace {

// Guards against a reply from a replica whose state may be stale.
TEST_CASE_METHOD(control_service_fixture,
                 "control service / not the leader / reply names the leader") {
  SECTION("follower") {
    leader_ = false;
    Send(ledger_read_message{});
  }
  SECTION("leadership lost before a read was confirmed") {
    Send(GENERATE(control_request(ledger_read_message{}),
                  control_request(fetch_config_message{})));
    RunDeferred();
    Confirm(false);
  }
  SECTION("leadership lost before a claim or finish was committed") {
    Send(GENERATE(control_request(ledger_claim_message{}),
                  control_request(ledger_finish_message{})));
    EndProposal(
        GENERATE(proposal_outcome::not_leader, proposal_outcome::unknown));
  }
  CHECK(Last<not_leader_message>().leader_address == "127.0.0.1:7102");
}

// Guards against a separate confirmation round for each read.
TEST_CASE_METHOD(control_service_fixture,
                 "control service / many reads at once / one confirmation") {
  for (int i = 0; i < 50; ++i) Send(ledger_read_message{});
  RunDeferred();
  CHECK(confirmations_.size() == 1);
  CHECK(replies_.empty());
  Confirm(true);
  CHECK(replies_.size() == 50);
}

// Guards against a submission with two owners when the answer to a claim is
// lost and the claim is resent to the next leader, before or after another
// entry claims the same id.
TEST_CASE_METHOD(
    control_service_fixture,
    "control service / claim resent after a lost answer / accepted "
    "for one owner only") {
  const ledger_claim_message claim = Claim("e1");
  ledger_claim_message rival = claim;
  rival.owner = entry_id("e2");
  Send(claim);
  if (GENERATE(true, false)) {
    machine_.Apply(proposals_.front().command);
    NewLeader();
    Send(rival);
    Commit();
    CHECK(Last<ledger_claim_reply_message>().outcome == claim_outcome::exists);
    Send(claim);
    Commit();
    CHECK(Last<ledger_claim_reply_message>().outcome ==
          claim_outcome::accepted);
  } else {
    NewLeader();
    Send(rival);
    Commit();
    CHECK(Last<ledger_claim_reply_message>().outcome ==
          claim_outcome::accepted);
    Send(claim);
    Commit();
    CHECK(Last<ledger_claim_reply_message>().outcome == claim_outcome::exists);
  }
}

// Guards against processes that learn of a leader only by their next
// heartbeats, and against a new leader that answers from an old state.
TEST_CASE_METHOD(control_service_fixture,
                 "control service / heartbeat during an election / answered "
                 "again once there is a leader") {
  leader_ = false;
  leader_address_ = "";
  heartbeat_message beat;
  beat.id = "entry-1";
  Send(beat);
  CHECK(Last<not_leader_message>().leader_address.empty());
  service_->UpdateLeadership();
  CHECK(replies_.empty());
  SECTION("this process") {
    leader_ = true;
    service_->UpdateLeadership();
    REQUIRE(replies_.size() == 1);
    CHECK(Last<heartbeat_reply_message>().entries.size() == 1);
  }
  SECTION("another process") {
    leader_address_ = "127.0.0.1:9";
    service_->UpdateLeadership();
    REQUIRE(replies_.size() == 1);
    CHECK(Last<not_leader_message>().leader_address == "127.0.0.1:9");
  }
  SECTION("only the latest heartbeat of a process") {
    Send(beat);
    replies_.clear();
    leader_ = true;
    service_->UpdateLeadership();
    CHECK(replies_.size() == 1);
  }
  SECTION("a heartbeat that is older than its repetition") {
    clock_.Advance(control_service::kMaxHeartbeatWait + milliseconds(1));
    leader_ = true;
    service_->UpdateLeadership();
    CHECK(replies_.empty());
  }
}

// Guards against agents without entries until their next heartbeats, and
// against lists that are sent again while nothing has changed.
TEST_CASE_METHOD(control_service_fixture,
                 "control service / entry unknown to a new leader / listed to "
                 "the agents at once") {
  const auto send = [this](process_role role, const std::string& id) {
    heartbeat_message beat;
    beat.role = role;
    beat.id = id;
    Send(beat);
  };
  SECTION("first heartbeat of the entry") {
    send(process_role::agent, "agent-1");
    CHECK(Last<heartbeat_reply_message>().entries.empty());
    clock_.Advance(milliseconds(100));
    send(process_role::entry, "entry-1");
    REQUIRE(replies_.size() == 2);
    CHECK(Last<heartbeat_reply_message>().entries.size() == 1);
    clock_.Advance(milliseconds(100));
    send(process_role::entry, "entry-1");
    CHECK(replies_.size() == 1);
  }
  SECTION("several entries in a short time") {
    send(process_role::agent, "agent-1");
    send(process_role::entry, "entry-1");
    send(process_role::entry, "entry-2");
    CHECK(replies_.size() == 4);
    clock_.Advance(milliseconds(100));
    send(process_role::entry, "entry-2");
    REQUIRE(replies_.size() == 6);
    CHECK(Last<heartbeat_reply_message>().entries.size() == 2);
  }
  SECTION("leader that knows all processes") {
    clock_.Advance(process_directory::kLivenessTimeout);
    send(process_role::agent, "agent-1");
    clock_.Advance(milliseconds(100));
    send(process_role::entry, "entry-1");
    CHECK(replies_.size() == 2);
  }
}

// Guards against a claim that is accepted or never answered although no record
// could be stored.
TEST_CASE_METHOD(control_service_fixture,
                 "control service / full ledger / claim is not accepted") {
  ledger_options options;
  options.max_records = 0;
  machine_ = control_state_machine(options);
  Send(Claim("e1"));
  Commit();
  CHECK(Last<not_leader_message>().leader_address.empty());
}

// Guards against a job that never ends because its owner is dead.
TEST_CASE_METHOD(
    control_service_fixture,
    "control service / owner dies / live entries share its jobs evenly") {
  SendHeartbeat("e1");
  std::vector<ledger_claim_message> claims;
  for (int i = 0; i < 10; ++i) {
    claims.push_back(Claim("e1"));
    Send(claims.back());
  }
  Commit();
  AdvanceClock(milliseconds(3500), {"e2", "e3"});
  CHECK(proposals_.empty());
  AdvanceClock(milliseconds(500), {"e2", "e3"});
  Commit();
  const auto second = SendHeartbeat("e2").takeovers;
  CHECK(second.size() == 5);
  CHECK(SendHeartbeat("e3").takeovers.size() == 5);
  CHECK(SendHeartbeat("e1").takeovers.empty());
  Send(ledger_finish_message{
      second[0].submission, second[0].epoch, ledger_state::complete, {}});
  Commit();
  CHECK(Last<ledger_finish_reply_message>().stored);
  CHECK(SendHeartbeat("e2").takeovers.size() == 4);
  // The successor dies too.
  AdvanceClock(milliseconds(4500), {"e3"});
  Commit();
  CHECK(SendHeartbeat("e3").takeovers.size() == 9);
}

// Guards against an end state of the previous owner that overrides the new
// owner's, and against the takeover of a job that has ended.
TEST_CASE_METHOD(control_service_fixture,
                 "control service / finish races with takeover / first in the "
                 "log wins") {
  const ledger_claim_message claim = Claim("e1");
  Send(claim);
  Commit();
  const ledger_finish_message finish{
      claim.submission, ledger::kFirstEpoch, ledger_state::complete, {}};
  const bool finish_first = GENERATE(true, false);
  if (finish_first) Send(finish);
  AdvanceClock(milliseconds(4000), {"e2"});
  if (!finish_first) Send(finish);
  replies_.clear();
  REQUIRE(proposals_.size() == 2);
  Commit();
  CHECK(Last<ledger_finish_reply_message>().stored == finish_first);
  CHECK(SendHeartbeat("e2").takeovers.size() == (finish_first ? 0U : 1U));
}

// Guards against a takeover that is lost together with the leader that proposed
// it.
TEST_CASE_METHOD(control_service_fixture,
                 "control service / leader changes before the takeover / next "
                 "leader takes over after its grace period") {
  Send(Claim("e1"));
  Commit();
  AdvanceClock(milliseconds(4000), {"e2"});
  REQUIRE(proposals_.size() == 1);
  NewLeader();
  AdvanceClock(milliseconds(3500), {"e2"});
  CHECK(proposals_.empty());
  AdvanceClock(milliseconds(500), {"e2"});
  REQUIRE(proposals_.size() == 1);
  SECTION("and a failed proposal is repeated") {
    EndProposal(proposal_outcome::unknown);
    AdvanceClock(milliseconds(500), {"e2"});
  }
  Commit();
  CHECK(SendHeartbeat("e2").takeovers.size() == 1);
}

// Guards against the takeover of live owners' jobs by a leader that was
// suspended and runs its timer before it reads the pending heartbeats.
TEST_CASE_METHOD(control_service_fixture,
                 "control service / leader was suspended / no owner is dead") {
  Send(Claim("e1"));
  Commit();
  AdvanceClock(milliseconds(5000), {"e1", "e2"});
  clock_.Advance(std::chrono::seconds(20));
  service_->Tick();
  CHECK(proposals_.empty());
  AdvanceClock(milliseconds(6000), {"e1", "e2"});
  CHECK(proposals_.empty());
}

// Guards against jobs of an earlier incarnation that never end, after many
// restarts of the same entry.
TEST_CASE_METHOD(control_service_fixture,
                 "control service / entry restarts often / earlier jobs are "
                 "taken over at once") {
  AdvanceClock(milliseconds(5000), {"e2"});
  for (std::uint64_t run = 1; run <= 300; ++run) {
    SendHeartbeat("e1", run);
    SendHeartbeat("e2");
    service_->Tick();
    Commit();
    Send(Claim("e1", run));
    Commit();
  }
  replies_.clear();
  SendHeartbeat("e1", 301);
  service_->Tick();
  Commit();
  CHECK(machine_.Ledger().RunningOwners() ==
        std::vector<ledger_owner>{{entry_id("e1"), incarnation_id(301)},
                                  {entry_id("e2"), incarnation_id(1)}});
}

// Guards against two accepted changes based on the same version, a change that
// a resend applies twice, and an outcome that is reported without being known.
TEST_CASE_METHOD(control_service_fixture,
                 "control service / operators' changes / outcome is correct") {
  const uuid first = uuid::MakeV7(clock_.WallNow(), random_);
  const uuid second = uuid::MakeV7(clock_.WallNow(), random_);
  const auto outcome = [](const change_answer& answer) {
    return std::get<change_result>(answer).outcome;
  };
  SECTION("two changes based on the same version") {
    CHECK(outcome(Change(first, 0, "a", proposal_outcome::committed)) ==
          change_outcome::accepted);
    CHECK(outcome(Change(second, 0, "b", proposal_outcome::committed)) ==
          change_outcome::version_conflict);
  }
  SECTION("a resend to another control process after a lost answer") {
    service_->ChangeConfig(first, config_version(0), {"a", {}},
                           [](const change_answer&) {});
    machine_.Apply(proposals_.front().command);
    NewLeader();
    CHECK(outcome(Change(first, 0, "a", proposal_outcome::committed)) ==
          change_outcome::accepted);
    CHECK(outcome(Change(first, 1, "b", proposal_outcome::committed)) ==
          change_outcome::change_id_conflict);
  }
  SECTION("an invalid document") {
    const auto answer = Change(first, 0, "bad", proposal_outcome::committed);
    CHECK(std::get<change_invalid>(answer).errors.size() == 1);
  }
  SECTION("leadership lost") {
    CHECK(std::holds_alternative<change_not_leader>(
        Change(first, 0, "a", proposal_outcome::not_leader)));
    CHECK(std::holds_alternative<change_outcome_unknown>(
        Change(first, 0, "a", proposal_outcome::unknown)));
  }
  SECTION("no majority within the time limit") {
    int answers = 0;
    service_->ChangeConfig(
        first, config_version(0), {"a", {}},
        [&answers](const change_answer& answer) {
          ++answers;
          CHECK(std::holds_alternative<change_outcome_unknown>(answer));
        });
    AdvanceClock(milliseconds(5000), {});
    CHECK(answers == 1);
    Commit();
    CHECK(answers == 1);
  }
}

}  // namespace
}  // namespace almond
