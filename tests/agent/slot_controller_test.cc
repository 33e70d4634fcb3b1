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

  /// Allocates and keeps the grants.
  /// @returns numbers of grants that each entry got
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

// Guards against uneven grants among entries with equal demand.
TEST_CASE_METHOD(slot_controller_fixture,
                 "slot controller / demand of two entries / shared by unmet "
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

// Guards against slots that stay with an idle entry while another waits.
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

// Guards against work for an endpoint that has left: nothing is granted after
// the leave, and no grant outlives its lease.
TEST_CASE_METHOD(slot_controller_fixture,
                 "slot controller / granting ends / grants valid for their "
                 "lease only") {
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
  CHECK(slots_.Granted() == 0);
  CHECK(slots_.Busy() == 1);
}

// Guards against an entry without usable grants between two leases, and against
// a lease that outlives the end of granting by more than its length.
TEST_CASE_METHOD(slot_controller_fixture,
                 "slot controller / leases are renewed / grants stay usable") {
  Allocate();
  clock_.Advance(slot_controller::kLease - milliseconds(1));
  SECTION("while granting") {
    slots_.RenewLeases();
    clock_.Advance(slot_controller::kLease - milliseconds(1));
    CHECK(Allocate() == std::pair<std::size_t, std::size_t>(4, 4));
    CHECK(slots_.Granted() == 8);
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

// Guards against grant messages of their own where an answer could carry them,
// and against an entry that is starved by the answers of another.
TEST_CASE_METHOD(slot_controller_fixture,
                 "slot controller / answer is due / its entry goes first") {
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

// Guards against a single request at one entry that waits for a job of
// hundreds of tasks at another.
TEST_CASE_METHOD(slot_controller_fixture,
                 "slot controller / large demand elsewhere / turns are kept") {
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
  CHECK(grants <= 2 * slot_controller::kTurns + 1);
}

// Guards against slots that exceed the capacity after it shrinks, or leak with
// a connection or an endpoint.
TEST_CASE_METHOD(slot_controller_fixture,
                 "slot controller / capacity or holders change / books right") {
  Allocate();
  SECTION("capacity shrinks") {
    slots_.SetCapacity(1);
    CHECK(slots_.UseGrant(kA, held_[kA][0]));
    CHECK_FALSE(slots_.UseGrant(kA, held_[kA][1]));
    CHECK(slots_.Busy() == 1);
  }
  SECTION("connection ends") {
    slots_.RemoveEntry(kA);
    CHECK_FALSE(slots_.UseGrant(kA, held_[kA][0]));
    CHECK(slots_.Granted() == 4);
  }
  SECTION("service changes") {
    CHECK(slots_.UseGrant(kA, held_[kA][0]));
    slots_.Revoke();
    CHECK_FALSE(slots_.UseGrant(kA, held_[kA][1]));
    CHECK(slots_.Busy() == 1);
    CHECK(slots_.Free() == 7);
  }
  SECTION("held back") {
    slots_.Revoke();
    held_.clear();
    slots_.HoldBack(kA, clock_.SteadyNow() + milliseconds(50));
    CHECK(Allocate() == std::pair<std::size_t, std::size_t>(0, 8));
  }
}

}  // namespace
}  // namespace almond
