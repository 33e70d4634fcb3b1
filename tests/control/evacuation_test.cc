#include <catch2/catch.hpp>

#include "control/control_service_fixture.h"
#include "libalmond/controllers/control/command_codec.h"
#include "libalmond/controllers/evacuation_holder.h"

namespace almond {
namespace {

const data_centre_id kNorth("north");
const data_centre_id kSouth("south");

TEST_CASE("evacuation store / changes and resends / revision counts effects") {
  evacuation_store store;
  CHECK(store.Apply({kSouth, false}) == evacuation_revision(0));
  CHECK(store.Apply({kSouth, true}) == evacuation_revision(1));
  CHECK(store.Apply({kSouth, true}) == evacuation_revision(1));
  CHECK(store.Apply({kNorth, true}) == evacuation_revision(2));
  CHECK(store.Evacuations().data_centres == std::vector{kNorth, kSouth});
  CHECK(store.Apply({kSouth, false}) == evacuation_revision(3));
  CHECK(store.Evacuations().data_centres == std::vector{kNorth});
}

// Guards against replicas that cannot start on the snapshot of an earlier
// release, and against evacuations that are lost with the log before a
// snapshot.
TEST_CASE("control state machine / snapshots of all formats / are restored") {
  control_state_machine machine;
  const std::string empty = machine.Snapshot();
  const std::string without_evacuations = empty.substr(0, empty.size() - 2);
  const std::string second = "\x02" + without_evacuations.substr(1);
  const std::string first =
      "\x01" + without_evacuations.substr(1, without_evacuations.size() - 2);
  machine.Apply(EncodeCommand({{}, evacuation_change{kNorth, true}}));
  const std::string present = machine.Snapshot();
  for (const std::string& earlier : {first, second}) {
    REQUIRE(machine.Restore(earlier));
    CHECK(machine.Evacuations().Evacuations() == evacuation_list());
  }
  REQUIRE(machine.Restore(present));
  CHECK(machine.Evacuations().Evacuations().Contains(kNorth));
  CHECK_FALSE(machine.Restore("\x04" + present.substr(1)));
}

// Guards against processes that obey a leader that has been replaced, or that
// has not applied its log yet.
TEST_CASE("evacuation holder / older and equal lists / are ignored") {
  evacuation_holder holder;
  CHECK(holder.ApplyIfNewer({evacuation_revision(2), {kNorth}}));
  CHECK_FALSE(holder.ApplyIfNewer({evacuation_revision(1), {}}));
  CHECK_FALSE(holder.ApplyIfNewer({evacuation_revision(2), {}}));
  CHECK_FALSE(holder.ApplyIfNewer({}));
  CHECK(holder.IsEvacuated(kNorth));
  CHECK(holder.ApplyIfNewer({evacuation_revision(3), {}}));
  CHECK_FALSE(holder.IsEvacuated(kNorth));
}

class evacuation_fixture : public control_service_fixture {
 protected:
  evacuation_fixture() { data_centres_ = {kNorth, kSouth}; }

  void Change(const data_centre_id& data_centre, bool evacuated = true) {
    answer_.reset();
    service_->ChangeEvacuation(
        {data_centre, evacuated},
        [this](const evacuation_answer& answer) { answer_ = answer; });
  }
  void ConfirmReads(bool confirmed = true) {
    RunDeferred();
    Confirm(confirmed);
  }
  template <typename Answer>
  bool Answered() const {
    return answer_ && std::holds_alternative<Answer>(*answer_);
  }
  /// @returns the acknowledged revision, or 0
  std::uint64_t Acknowledged() const {
    return Answered<evacuation_result>()
               ? std::get<evacuation_result>(*answer_).revision.Value()
               : 0;
  }

  std::optional<evacuation_answer> answer_;
};

TEST_CASE_METHOD(
    evacuation_fixture,
    "evacuation / committed / acknowledged and sent to processes") {
  Change(kNorth);
  CHECK_FALSE(answer_);
  CHECK(SendHeartbeat("e1").evacuations == evacuation_list());
  Commit();
  CHECK(Acknowledged() == 1);
  CHECK(SendHeartbeat("e1").evacuations ==
        evacuation_list{evacuation_revision(1), {kNorth}});
  Change(kNorth, false);
  Commit();
  CHECK(Acknowledged() == 2);
  CHECK(SendHeartbeat("e1").evacuations.data_centres.empty());
}

// Guards against resends that fill the log, and against an answer from the
// state of a leader that has been replaced.
TEST_CASE_METHOD(evacuation_fixture,
                 "evacuation / already in force / acknowledged by a confirmed "
                 "read without a proposal") {
  Change(kNorth);
  Commit();
  Change(kNorth);
  CHECK(proposals_.empty());
  CHECK_FALSE(answer_);
  ConfirmReads();
  CHECK(Acknowledged() == 1);
  Change(kNorth);
  ConfirmReads(false);
  CHECK(Answered<change_not_leader>());
}

// The log has the change, but no process has been sent it.
TEST_CASE_METHOD(evacuation_fixture,
                 "evacuation / leader lost between log and push / outcome "
                 "unknown, resend acknowledged") {
  Change(kNorth);
  const std::string logged = proposals_.front().command;
  EndProposal(proposal_outcome::unknown);
  CHECK(Answered<change_outcome_unknown>());
  machine_.Apply(logged);
  NewLeader();
  Change(kNorth);
  CHECK(proposals_.empty());
  ConfirmReads();
  CHECK(Acknowledged() == 1);
  CHECK(SendHeartbeat("e1").evacuations.Contains(kNorth));
}

TEST_CASE_METHOD(evacuation_fixture,
                 "evacuation / leader lost before the append / not accepted, "
                 "resend proposed") {
  Change(kNorth);
  EndProposal(proposal_outcome::not_leader);
  CHECK(Answered<change_not_leader>());
  NewLeader();
  Change(kNorth);
  Commit();
  CHECK(Acknowledged() == 1);
}

TEST_CASE_METHOD(
    evacuation_fixture,
    "evacuation / no majority / outcome unknown after the timeout") {
  Change(kNorth);
  AdvanceClock(evacuation_controller::kChangeTimeout, {});
  CHECK(Answered<change_outcome_unknown>());
  Commit();
  CHECK(Answered<change_outcome_unknown>());
}

TEST_CASE_METHOD(
    evacuation_fixture,
    "evacuation / unknown data centre / refused without a change") {
  Change(data_centre_id("nowhere"));
  CHECK_FALSE(answer_);
  ConfirmReads();
  CHECK(Answered<change_unknown_data_centre>());
  CHECK(proposals_.empty());
  CHECK(machine_.Evacuations().Evacuations() == evacuation_list());
}

// Guards against the refusal of a data centre whose processes have not sent a
// heartbeat to a new leader yet.
TEST_CASE_METHOD(evacuation_fixture,
                 "evacuation / no data centres configured / known by live "
                 "processes, undetermined until they are heard") {
  data_centres_.clear();
  const data_centre_id central("my-central-1");  // of the heartbeats
  Change(central);
  ConfirmReads();
  CHECK(Answered<change_outcome_unknown>());
  SendHeartbeat("e1");
  Change(central);
  Commit();
  CHECK(Acknowledged() == 1);
  AdvanceClock(process_directory::kOwnerTimeout, {"e1"});
  Change(kNorth);
  ConfirmReads();
  CHECK(Answered<change_unknown_data_centre>());
}

// Guards against a data centre that cannot be taken back, because it was
// removed from the configuration meanwhile.
TEST_CASE_METHOD(evacuation_fixture,
                 "evacuation / data centre no longer configured / can be taken "
                 "back") {
  Change(kNorth);
  Commit();
  data_centres_ = {kSouth};
  Change(kNorth, false);
  Commit();
  CHECK(Acknowledged() == 2);
}

}  // namespace
}  // namespace almond
