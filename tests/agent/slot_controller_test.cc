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
  slots_.Return(kB, {held_[kB][0], held_[kB][1]});
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
  CHECK(slots_.Use(kA, held_[kA][0]));
  CHECK_FALSE(slots_.Use(kA, held_[kA][0]));
  CHECK_FALSE(slots_.Use(kB, held_[kA][1]));
  clock_.Advance(milliseconds(1));
  CHECK_FALSE(slots_.Use(kA, held_[kA][1]));
  held_.clear();
  CHECK(Allocate() == std::pair<std::size_t, std::size_t>(0, 0));
  CHECK(slots_.Granted() == 0);
  CHECK(slots_.Busy() == 1);
}

// Guards against an entry without usable grants between two leases.
TEST_CASE_METHOD(
    slot_controller_fixture,
    "slot controller / grants near their end / renewed by recall") {
  Allocate();
  clock_.Advance(slot_controller::kLease - slot_controller::kRenewal);
  Allocate();
  REQUIRE(last_.recalls.size() == 2);
  CHECK(last_.recalls[0].count == 4);
}

// Guards against slots that exceed the capacity after it shrinks, or leak with
// a connection or an endpoint.
TEST_CASE_METHOD(slot_controller_fixture,
                 "slot controller / capacity or holders change / books right") {
  Allocate();
  SECTION("capacity shrinks") {
    slots_.SetCapacity(1);
    CHECK(slots_.Use(kA, held_[kA][0]));
    CHECK_FALSE(slots_.Use(kA, held_[kA][1]));
    CHECK(slots_.Busy() == 1);
  }
  SECTION("connection ends") {
    slots_.RemoveEntry(kA);
    CHECK_FALSE(slots_.Use(kA, held_[kA][0]));
    CHECK(slots_.Granted() == 4);
  }
  SECTION("service changes") {
    CHECK(slots_.Use(kA, held_[kA][0]));
    slots_.Revoke();
    CHECK_FALSE(slots_.Use(kA, held_[kA][1]));
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
