#include "libalmond/controllers/agent/suspension_controller.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

class suspension_fixture {
 protected:
  suspension_fixture() {
    slots_.SetCapacity(4);
    slots_.SetGranting(true);
    slots_.AddEntry(kEntry);
    Offer(true, false, 0);
  }

  void Offer(bool pause, bool checkpoint, std::uint32_t memory_mib) {
    endpoint_controls controls;
    controls.pause = pause;
    controls.checkpoint = checkpoint;
    tasks_.SetEndpoint(controls, 0, memory_mib);
  }

  /// Fills all free slots with tasks.
  void Fill(const task_size& size = {}) {
    slots_.SetDemand(kEntry, slots_.Free());
    for (const auto& action : slots_.Allocate().grants) {
      for (const grant_id grant : action.grants) {
        REQUIRE(slots_.UseGrant(kEntry, grant));
        last_ = last_.Next();
        tasks_.Add(last_, kKind, size);
      }
    }
    slots_.SetDemand(kEntry, 0);
  }

  /// Fills the slots and lets the tasks become aged, with one more waiting.
  void FillAged(const task_size& size = {}) {
    Fill(size);
    clock_.Advance(suspension_policy::kSuspendAfter);
    slots_.SetDemand(kEntry, 1);
  }

  /// @returns the one decision that is expected
  suspension_controller::action One() {
    const auto actions = tasks_.Decide();
    REQUIRE(actions.size() == 1);
    return actions[0];
  }

  void Confirm(const suspension_controller::action& action,
               task_control_result result = task_control_result::done) {
    tasks_.OnControlResult(action.run, action.control, result);
  }

  static constexpr link_id kEntry{1};
  inline static const request_kind kKind{"k"};

  manual_clock clock_;
  slot_controller slots_{clock_};
  suspension_controller tasks_{clock_, slots_, {}};
  run_id last_;
};

// Guards against a slot that is given away before the endpoint has paused its
// task, and against pauses without need.
TEST_CASE_METHOD(suspension_fixture,
                 "suspension / demand unmet / aged task paused and resumed") {
  Fill();
  slots_.SetDemand(kEntry, 1);
  CHECK(tasks_.Decide().empty());
  clock_.Advance(suspension_policy::kSuspendAfter);
  const auto pause = One();
  CHECK(pause.control == task_control::pause);
  CHECK(tasks_.Decide().empty());
  CHECK(slots_.Busy() == 4);
  Confirm(pause);
  CHECK(slots_.Busy() == 3);
  CHECK(tasks_.Suspended() == 1);
  clock_.Advance(milliseconds(5000));
  slots_.SetDemand(kEntry, 0);
  const auto resume = One();
  CHECK(resume.run == pause.run);
  CHECK(resume.control == task_control::resume);
  CHECK(slots_.Busy() == 4);
  Confirm(resume);
  clock_.Advance(milliseconds(70));
  CHECK(tasks_.Remove(pause.run) == milliseconds(2070));
}

// Guards against stragglers that starve, and against a reserve that costs
// goodput in an overload.
TEST_CASE_METHOD(suspension_fixture,
                 "suspension / demand of many / reserve kept unless "
                 "overloaded") {
  const bool overloaded = GENERATE(false, true);
  FillAged();
  slots_.SetDemand(kEntry, 100);
  slots_.SetOverloaded(kEntry, overloaded);
  const auto pauses = tasks_.Decide();
  REQUIRE(pauses.size() == (overloaded ? 4 : 3));
  for (const auto& pause : pauses) Confirm(pause);
  CHECK(tasks_.AgedOnSlot() == (overloaded ? 0 : 1));
  if (overloaded) return;
  // The end of the one aged task on a slot lets the first paused one go on,
  // although new work waits.
  for (std::uint64_t run = 1; run <= 4; ++run) {
    if (std::none_of(pauses.begin(), pauses.end(), [&](const auto& pause) {
          return pause.run == run_id(run);
        })) {
      tasks_.Remove(run_id(run));
    }
  }
  CHECK(One().run == pauses[0].run);
}

// Guards against wrong books after each way in which a pause can end.
TEST_CASE_METHOD(suspension_fixture,
                 "suspension / pause ends otherwise / slots right") {
  FillAged();
  const auto pause = One();
  SECTION("rejected: still runs, tried again later") {
    Confirm(pause, task_control_result::rejected);
    CHECK(One().run != pause.run);
  }
  SECTION("not known: keeps the slot until a resume is confirmed") {
    slots_.SetDemand(kEntry, 0);
    Confirm(pause, task_control_result::failed);
    const auto resume = One();
    CHECK(resume.control == task_control::resume);
    CHECK(resume.run == pause.run);
    Confirm(resume, task_control_result::failed);
    CHECK(tasks_.Decide().empty());
    clock_.Advance(suspension_controller::kRetry);
    Confirm(One());
    CHECK(tasks_.Decide().empty());
  }
  SECTION("task ends while its pause is on the way") {
    tasks_.Remove(pause.run);
    CHECK(slots_.Busy() == 3);
    Confirm(pause);
    CHECK(slots_.Busy() == 3);
    return;
  }
  CHECK(slots_.Busy() == 4);
  for (std::uint64_t run = 1; run <= 4; ++run) tasks_.Remove(run_id(run));
  CHECK(slots_.Busy() == 0);
}

// Guards against paused tasks that exhaust the endpoint's memory.
TEST_CASE_METHOD(suspension_fixture,
                 "suspension / memory full / checkpoint or no pause") {
  const bool checkpoint = GENERATE(true, false);
  task_size size;
  size.memory_mib = 100;
  Offer(true, checkpoint, 450);
  FillAged(size);
  const auto pause = One();
  Confirm(pause);
  Fill(size);
  CHECK(tasks_.Resources().MemoryUsed() == 400 + 100 * slots_.Busy() - 300);
  slots_.SetDemand(kEntry, 1);
  const auto actions = tasks_.Decide();
  if (!checkpoint) {
    CHECK(actions.empty());
    return;
  }
  REQUIRE(actions.size() == 1);
  CHECK(actions[0].control == task_control::checkpoint);
  const auto used = tasks_.Resources().MemoryUsed();
  Confirm(actions[0]);
  CHECK(tasks_.Resources().MemoryUsed() == used - 100);
  for (std::uint64_t run = 1; run <= last_.Value(); ++run) {
    tasks_.Remove(run_id(run));
  }
  CHECK(tasks_.Resources().MemoryUsed() == 0);
  CHECK(slots_.Busy() == 0);
}

// Guards against an endpoint without pause that is filled by long tasks.
TEST_CASE_METHOD(suspension_fixture,
                 "suspension / no pause control / long kinds capped") {
  Offer(false, false, 0);
  FillAged();
  CHECK(tasks_.Decide().empty());
  CHECK(tasks_.Capped(kKind));
  CHECK_FALSE(tasks_.Capped(request_kind("other")));
  for (std::uint64_t run = 1; run <= 3; ++run) tasks_.Remove(run_id(run));
  CHECK_FALSE(tasks_.Capped(kKind));
}

// Guards against a policy that cannot be replaced for a comparison.
TEST_CASE_METHOD(suspension_fixture,
                 "suspension / hook returns nothing / first in first out") {
  suspension_policy policy;
  policy.suspend_after = [] { return std::optional<milliseconds>(); };
  suspension_controller tasks(clock_, slots_, policy);
  endpoint_controls controls;
  controls.pause = true;
  tasks.SetEndpoint(controls, 0, 0);
  FillAged();
  tasks.Add(run_id(1), kKind, {});
  clock_.Advance(std::chrono::minutes(1));
  CHECK(tasks.Decide().empty());
}

}  // namespace
}  // namespace almond
