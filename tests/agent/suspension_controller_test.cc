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

  /// Starts a task in each free slot.
  void Fill(const task_size& size = {}) {
    slots_.SetDemand(kEntry, slots_.FreeSlots());
    for (const auto& action : slots_.Allocate().grants) {
      for (const grant_id grant : action.grants) {
        REQUIRE(slots_.UseGrant(kEntry, grant));
        last_ = last_.Next();
        tasks_.Add(last_, kKind, size);
      }
    }
    slots_.SetDemand(kEntry, 0);
  }

  /// Starts a task in each free slot, lets all tasks become aged, and adds
  /// unmet demand for one task.
  void FillAged(const task_size& size = {}) {
    Fill(size);
    clock_.Advance(suspension_policy::kSuspendAfter);
    slots_.SetDemand(kEntry, 1);
  }

  /// @returns the only action of the next decision
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

// Guards against releasing a slot before the endpoint has confirmed the pause,
// and against needless pauses.
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

// Guards against long tasks that starve, and against reserved slots that reduce
// the goodput under overload.
TEST_CASE_METHOD(
    suspension_fixture,
    "suspension / large demand / slots reserved unless overloaded") {
  const bool overloaded = GENERATE(false, true);
  FillAged();
  slots_.SetDemand(kEntry, 100);
  slots_.SetOverloaded(kEntry, overloaded);
  const auto pauses = tasks_.Decide();
  REQUIRE(pauses.size() == (overloaded ? 4 : 3));
  for (const auto& pause : pauses) Confirm(pause);
  CHECK(tasks_.AgedOnSlot() == (overloaded ? 0 : 1));
  if (overloaded) return;
  // When the only aged task that holds a slot ends, the first paused one is
  // resumed, although new tasks are waiting.
  for (std::uint64_t run = 1; run <= 4; ++run) {
    if (std::none_of(pauses.begin(), pauses.end(), [&](const auto& pause) {
          return pause.run == run_id(run);
        })) {
      tasks_.Remove(run_id(run));
    }
  }
  CHECK(One().run == pauses[0].run);
}

// Guards against wrong slot counts after each possible result of a pause.
TEST_CASE_METHOD(suspension_fixture,
                 "suspension / pause not confirmed / slot count correct") {
  FillAged();
  const auto pause = One();
  SECTION("rejected: task still running, retried later") {
    Confirm(pause, task_control_result::rejected);
    CHECK(One().run != pause.run);
  }
  SECTION("unknown: slot kept until a resume is confirmed") {
    slots_.SetDemand(kEntry, 0);
    Confirm(pause, task_control_result::failed);
    const auto resume = One();
    CHECK(resume.control == task_control::resume);
    CHECK(resume.run == pause.run);
    Confirm(resume, task_control_result::failed);
    CHECK(tasks_.Decide().empty());
    clock_.Advance(suspension_controller::kControlRetryPeriod);
    Confirm(One());
    CHECK(tasks_.Decide().empty());
  }
  SECTION("task ends while the pause is in flight") {
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

// Guards against long tasks that occupy all slots of an endpoint without pause.
TEST_CASE_METHOD(suspension_fixture,
                 "suspension / no pause control / long kinds limited") {
  Offer(false, false, 0);
  FillAged();
  CHECK(tasks_.Decide().empty());
  CHECK(tasks_.LongKindCapReached(kKind));
  CHECK_FALSE(tasks_.LongKindCapReached(request_kind("other")));
  for (std::uint64_t run = 1; run <= 3; ++run) tasks_.Remove(run_id(run));
  CHECK_FALSE(tasks_.LongKindCapReached(kKind));
}

// Guards against a policy hook that has no effect; benchmarks replace it to
// compare policies.
TEST_CASE_METHOD(suspension_fixture,
                 "suspension / suspend_after disabled / first in, first out") {
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
