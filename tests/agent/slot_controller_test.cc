#include "libalmond/controllers/agent/slot_controller.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

class slot_controller_fixture {
 protected:
  slot_controller_fixture() {
    slots_.SetCapacity(8);
    slots_.SetGranting(true);
    slots_.AddEntry(kA);
    slots_.AddEntry(kB);
  }

  /// Allocates free slots and records the grants.
  /// @returns number of grants of each entry so far
  std::pair<std::size_t, std::size_t> Allocate() {
    last_ = slots_.Allocate();
    for (const auto& action : last_.grants) {
      auto& held = held_[action.entry];
      held.insert(held.end(), action.grants.begin(), action.grants.end());
    }
    return {held_[kA].size(), held_[kB].size()};
  }

  static constexpr link_id kA{1};
  static constexpr link_id kB{2};

  manual_clock clock_;
  slot_controller slots_{clock_};
  slot_controller::actions last_;
  std::map<link_id, std::vector<grant_id>> held_;
};

// Guards against an uneven distribution of grants to entries with equal demand.
TEST_CASE_METHOD(slot_controller_fixture,
                 "slot controller / two entries / grants distributed by unmet "
                 "demand") {
  struct demand_case {
    std::uint32_t a, b;
    std::size_t granted_a, granted_b;
  };
  const auto row = GENERATE(values<demand_case>({
      {0, 0, 4, 4},
      {100, 100, 4, 4},
      {100, 0, 8, 0},
      {6, 2, 6, 2},
      {1, 0, 4, 4},
  }));
  slots_.SetDemand(kA, row.a);
  slots_.SetDemand(kB, row.b);
  CHECK(Allocate() == std::pair(row.granted_a, row.granted_b));
}

// Guards against slots that are kept by an idle entry while another has unmet
// demand.
TEST_CASE_METHOD(slot_controller_fixture,
                 "slot controller / demand appears / idle grants recalled") {
  Allocate();
  slots_.SetDemand(kA, 6);
  Allocate();
  REQUIRE(last_.recalls.size() == 1);
  CHECK(last_.recalls[0].entry == kB);
  CHECK(last_.recalls[0].count == 2);
  Allocate();
  CHECK(last_.recalls.empty());
  slots_.ReturnGrants(kB, {held_[kB][0], held_[kB][1]});
  held_.clear();
  CHECK(Allocate().first == 2);
}

// Guards against starts on an endpoint that has left: no grants are issued
// after the leave, and grants end with their lease.
TEST_CASE_METHOD(slot_controller_fixture,
                 "slot controller / granting disabled / grants valid until "
                 "their lease ends") {
  Allocate();
  slots_.SetGranting(false);
  clock_.Advance(slot_controller::kLease - milliseconds(1));
  CHECK(slots_.UseGrant(kA, held_[kA][0]));
  CHECK_FALSE(slots_.UseGrant(kA, held_[kA][0]));
  CHECK_FALSE(slots_.UseGrant(kB, held_[kA][1]));
  clock_.Advance(milliseconds(1));
  CHECK_FALSE(slots_.UseGrant(kA, held_[kA][1]));
  held_.clear();
  CHECK(Allocate() == std::pair<std::size_t, std::size_t>(0, 0));
  CHECK(slots_.GrantedSlots() == 0);
  CHECK(slots_.Busy() == 1);
}

// Guards against grants that expire while their leases are renewed, and against
// leases that are renewed after granting was disabled.
TEST_CASE_METHOD(slot_controller_fixture,
                 "slot controller / leases renewed / grants stay usable") {
  Allocate();
  clock_.Advance(slot_controller::kLease - milliseconds(1));
  SECTION("while granting") {
    slots_.RenewLeases();
    clock_.Advance(slot_controller::kLease - milliseconds(1));
    CHECK(Allocate() == std::pair<std::size_t, std::size_t>(4, 4));
    CHECK(slots_.GrantedSlots() == 8);
    CHECK(slots_.UseGrant(kA, held_[kA][0]));
    clock_.Advance(milliseconds(1));
    CHECK_FALSE(slots_.UseGrant(kA, held_[kA][1]));
  }
  SECTION("not after the endpoint has left") {
    slots_.SetGranting(false);
    slots_.RenewLeases();
    clock_.Advance(milliseconds(1));
    CHECK_FALSE(slots_.UseGrant(kA, held_[kA][0]));
  }
}

// Guards against separate grant messages where an answer can carry the grant,
// and against an entry that starves because of the answers to another.
TEST_CASE_METHOD(slot_controller_fixture,
                 "slot controller / answer pending / its entry preferred") {
  Allocate();
  for (int i = 0; i < 4; ++i) REQUIRE(slots_.UseGrant(kA, held_[kA][i]));
  for (int i = 0; i < 4; ++i) REQUIRE(slots_.UseGrant(kB, held_[kB][i]));
  slots_.ReleaseSlot();
  struct row {
    std::uint32_t demand_a;
    std::uint32_t demand_b;
    link_id expected;
  };
  const row rows = GENERATE(as<row>{}, row{0, 0, kA}, row{4, 4, kA},
                            row{1, 9, kA}, row{0, 1, kB});
  slots_.SetDemand(kA, rows.demand_a);
  slots_.SetDemand(kB, rows.demand_b);
  const auto actions = slots_.Allocate({kA});
  REQUIRE(actions.grants.size() == 1);
  CHECK(actions.grants[0].entry == rows.expected);
}

// Guards against a single request at one entry that is delayed by a job with
// hundreds of tasks at another.
TEST_CASE_METHOD(slot_controller_fixture,
                 "slot controller / large demand elsewhere / served in turn") {
  Allocate();
  for (int i = 0; i < 4; ++i) REQUIRE(slots_.UseGrant(kA, held_[kA][i]));
  for (int i = 0; i < 4; ++i) REQUIRE(slots_.UseGrant(kB, held_[kB][i]));
  slots_.SetDemand(kA, 390);
  slots_.SetDemand(kB, 1);
  std::uint64_t grants = 0;
  bool served = false;
  while (!served && grants < 100) {
    slots_.ReleaseSlot();
    ++grants;
    const auto actions = slots_.Allocate({kA});
    REQUIRE(actions.grants.size() == 1);
    served = actions.grants[0].entry == kB;
    if (!served) REQUIRE(slots_.UseGrant(kA, actions.grants[0].grants[0]));
  }
  CHECK(served);
  CHECK(grants <= 2 * slot_controller::kGrantsPerTurn + 1);
}

// Guards against more busy slots than a reduced capacity, and against slots
// that leak when a connection or a service ends.
TEST_CASE_METHOD(slot_controller_fixture,
                 "slot controller / capacity or holders change / slot counts "
                 "correct") {
  Allocate();
  SECTION("capacity reduced") {
    slots_.SetCapacity(1);
    CHECK(slots_.UseGrant(kA, held_[kA][0]));
    CHECK_FALSE(slots_.UseGrant(kA, held_[kA][1]));
    CHECK(slots_.Busy() == 1);
  }
  SECTION("connection closed") {
    slots_.RemoveEntry(kA);
    CHECK_FALSE(slots_.UseGrant(kA, held_[kA][0]));
    CHECK(slots_.GrantedSlots() == 4);
  }
  SECTION("grants revoked for another service") {
    CHECK(slots_.UseGrant(kA, held_[kA][0]));
    slots_.Revoke();
    CHECK_FALSE(slots_.UseGrant(kA, held_[kA][1]));
    CHECK(slots_.Busy() == 1);
    CHECK(slots_.FreeSlots() == 7);
  }
  SECTION("entry backed off") {
    slots_.Revoke();
    held_.clear();
    slots_.BackOff(kA, clock_.SteadyNow() + milliseconds(50));
    CHECK(Allocate() == std::pair<std::size_t, std::size_t>(0, 8));
  }
}

}  // namespace
}  // namespace almond
