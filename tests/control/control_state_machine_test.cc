#include "libalmond/controllers/control/control_state_machine.h"

#include <catch2/catch.hpp>

#include "libalmond/controllers/control/command_codec.h"
#include "libalmond/core/digest.h"

namespace almond {
namespace {

class control_state_machine_fixture {
 protected:
  // Returns a command of any kind. Ids, owners and versions come from small
  // sets, so that commands often conflict.
  std::string RandomCommand() {
    clock_.Advance(milliseconds(random_() % 20000));
    const std::uint64_t choice = random_() % 9;
    if (choice < 3 || ids_.empty()) {
      ids_.push_back(uuid::MakeV7(clock_.WallNow(), random_));
    }
    const uuid id = ids_[ids_.size() - 1 - random_() % ids_.size()];
    const ledger_owner owner{entry_id("e" + std::to_string(random_() % 3)),
                             incarnation_id(random_() % 2)};
    const owner_epoch epoch(1 + random_() % 2);
    control_command command{clock_.WallNow(), {}};
    if (choice < 4) {
      command.body =
          ledger_claim_message{id,
                               Sha256({"x"}),
                               service_id("s" + std::to_string(random_() % 2)),
                               3,
                               owner.entry,
                               owner.incarnation,
                               clock_.WallNow()};
    } else if (choice < 5) {
      command.body = takeover_command{owner, {{id, epoch}}};
    } else if (choice < 6) {
      command.body = config_change{ids_[random_() % ids_.size()],
                                   config_version(random_() % 4), "doc",
                                   "digest" + std::to_string(random_() % 2)};
    } else if (choice == 8) {
      command.body =
          evacuation_change{data_centre_id("d" + std::to_string(random_() % 3)),
                            random_() % 2 == 0};
    } else {
      const refusal failure{refusal_reason::task_failed, run_outcome::ran,
                            "task " + std::to_string(random_() % 9)};
      command.body = ledger_finish_message{
          id, epoch,
          random_() % 2 == 0 ? ledger_state::failed : ledger_state::complete,
          failure};
    }
    return EncodeCommand(command);
  }

  manual_clock clock_;
  std::mt19937_64 random_{static_cast<std::uint64_t>(GENERATE(range(1, 41)))};
  std::vector<uuid> ids_;
};

// Guards against replicas whose states diverge after one of them has restored a
// snapshot, from the leader or at a restart.
TEST_CASE_METHOD(
    control_state_machine_fixture,
    "control state machine / restored from a snapshot / same results and "
    "state") {
  control_state_machine original;
  for (int i = 0; i < 300; ++i) original.Apply(RandomCommand());
  control_state_machine copy;
  REQUIRE(copy.Restore(original.Snapshot()));
  for (int i = 0; i < 300; ++i) {
    const std::string command = RandomCommand();
    REQUIRE(copy.Apply(command) == original.Apply(command));
    REQUIRE(copy.Ledger().Size() == original.Ledger().Size());
    REQUIRE(copy.Ledger().RunningOwners() == original.Ledger().RunningOwners());
  }
  CHECK(copy.Config().Newest() == original.Config().Newest());
  CHECK(copy.Evacuations().Evacuations() ==
        original.Evacuations().Evacuations());
  CHECK(copy.Ledger().Now() == original.Ledger().Now());
}

// Guards against a truncated snapshot or command that changes the state.
TEST_CASE_METHOD(
    control_state_machine_fixture,
    "control state machine / truncated bytes / state is unchanged") {
  control_state_machine machine;
  for (int i = 0; i < 30; ++i) machine.Apply(RandomCommand());
  const std::string snapshot = machine.Snapshot();
  for (std::size_t size = 0; size < snapshot.size(); size += 7) {
    REQUIRE_FALSE(machine.Restore(snapshot.substr(0, size)));
  }
  const std::string command = RandomCommand();
  for (std::size_t size = 0; size < command.size(); ++size) {
    REQUIRE(machine.Apply(command.substr(0, size)).empty());
  }
  CHECK(machine.Snapshot() == snapshot);
}

}  // namespace
}  // namespace almond
