#include "libalmond/controllers/control/ledger.h"

#include <catch2/catch.hpp>

#include "libalmond/core/digest.h"

namespace almond {
namespace {

using std::chrono::minutes;

class ledger_fixture {
 protected:
  ledger_fixture() { ledger_.Advance(clock_.WallNow()); }

  uuid Id(milliseconds age = milliseconds(0)) {
    return uuid::MakeV7(clock_.WallNow() - age, random_);
  }
  ledger_claim_message Claim(const uuid& submission,
                             const std::string& entry = "e1",
                             std::uint64_t incarnation = 1) {
    return {submission,
            Sha256({"content"}),
            service_id("geurmatch"),
            40,
            entry_id(entry),
            incarnation_id(incarnation),
            std::chrono::floor<milliseconds>(clock_.WallNow()) +
                std::chrono::seconds(5)};
  }
  claim_outcome Outcome(const ledger_claim_message& claim) {
    return ledger_.Claim(claim).value().outcome;
  }
  static ledger_finish_message Finish(const uuid& submission,
                                      std::uint64_t epoch) {
    return {submission, owner_epoch(epoch), ledger_state::complete, {}};
  }
  void Advance(milliseconds step) {
    clock_.Advance(step);
    ledger_.Advance(clock_.WallNow());
  }

  manual_clock clock_;
  std::mt19937_64 random_{1};
  ledger ledger_;
  const ledger_owner successor_{entry_id("e2"), incarnation_id(7)};
};

// Guards against a submission whose tasks start twice because two claims were
// accepted, and against an owner that never learns that its claim was accepted.
TEST_CASE_METHOD(ledger_fixture,
                 "ledger / second claim of an id / accepted only if a resend") {
  const uuid id = Id();
  const ledger_claim_message first = Claim(id);
  REQUIRE(Outcome(first) == claim_outcome::accepted);
  ledger_claim_message second = first;
  SECTION("resend of the same claim") {
    CHECK(Outcome(second) == claim_outcome::accepted);
  }
  SECTION("another entry") {
    second.owner = entry_id("e2");
    CHECK(Outcome(second) == claim_outcome::exists);
  }
  SECTION("the same entry after a restart") {
    second.owner_incarnation = incarnation_id(2);
    CHECK(Outcome(second) == claim_outcome::exists);
  }
  SECTION("another request at the same entry") {
    second.deadline += milliseconds(1);
    CHECK(Outcome(second) == claim_outcome::exists);
  }
  SECTION("other content") {
    second.digest = Sha256({"other"});
    CHECK(Outcome(second) == claim_outcome::conflict);
  }
  SECTION("a delayed resend after the end") {
    REQUIRE(ledger_.Finish(Finish(id, 1)));
    CHECK(Outcome(second) == claim_outcome::exists);
  }
  SECTION("a delayed resend after a takeover") {
    REQUIRE(ledger_.TakeOver(id, owner_epoch(1), successor_));
    CHECK(Outcome(second) == claim_outcome::exists);
  }
  SECTION("the successor, which must never start a task") {
    REQUIRE(ledger_.TakeOver(id, owner_epoch(1), successor_));
    second.owner = successor_.entry;
    second.owner_incarnation = successor_.incarnation;
    CHECK(Outcome(second) == claim_outcome::exists);
  }
}

// Guards against an end state set by a previous owner, and against two owners.
TEST_CASE_METHOD(ledger_fixture,
                 "ledger / takeover and finish in either order / first wins") {
  const uuid id = Id();
  Outcome(Claim(id));
  SECTION("the previous owner finishes first") {
    CHECK(ledger_.Finish(Finish(id, 1)));
    CHECK_FALSE(ledger_.TakeOver(id, owner_epoch(1), successor_));
    CHECK(ledger_.Finish(Finish(id, 1)));
    CHECK_FALSE(ledger_.Finish({id, owner_epoch(1), ledger_state::failed, {}}));
    CHECK(ledger_.Find(id)->state == ledger_state::complete);
    CHECK(ledger_.RunningOwners().empty());
  }
  SECTION("the takeover comes first") {
    CHECK(ledger_.TakeOver(id, owner_epoch(1), successor_));
    CHECK_FALSE(ledger_.TakeOver(id, owner_epoch(1), successor_));
    CHECK_FALSE(ledger_.Finish(Finish(id, 1)));
    CHECK(ledger_.Find(id)->state == ledger_state::running);
    CHECK(ledger_.TakenOver(successor_, 10).size() == 1);
    CHECK(ledger_.Finish(Finish(id, 2)));
    CHECK(ledger_.TakenOver(successor_, 10).empty());
  }
}

// Guards against an id that is accepted again after its record has expired.
TEST_CASE_METHOD(
    ledger_fixture,
    "ledger / id at the limits of the window / never accepted twice") {
  const milliseconds age =
      GENERATE(milliseconds(minutes(-1)), milliseconds(0),
               milliseconds(minutes(10)) - milliseconds(1));
  const uuid id = Id(age);
  REQUIRE(Outcome(Claim(id)) == claim_outcome::accepted);
  if (GENERATE(true, false)) ledger_.Finish(Finish(id, 1));
  for (int second = 0; second < 13 * 60; ++second) {
    Advance(milliseconds(1000));
    const claim_outcome outcome = Outcome(Claim(id, "e2"));
    const bool refused =
        outcome == claim_outcome::exists || outcome == claim_outcome::expired;
    REQUIRE(refused);
  }
  CHECK(ledger_.Size() == 0);
  CHECK(ledger_.RunningOwners().empty());
}

// Guards against ids whose age the window cannot bound.
TEST_CASE_METHOD(ledger_fixture,
                 "ledger / id without a valid timestamp / is refused") {
  CHECK(Outcome(Claim(Id(minutes(10)))) == claim_outcome::expired);
  CHECK(Outcome(Claim(Id(-minutes(1) - milliseconds(1)))) ==
        claim_outcome::too_new);
  CHECK(Outcome(Claim(uuid())) == claim_outcome::too_new);
  CHECK(ledger_.Size() == 0);
}

// Guards against unbounded memory, and against a full ledger that drops
// records.
TEST_CASE_METHOD(ledger_fixture, "ledger / full / refuses only new ids") {
  ledger_options options;
  options.max_records = 2;
  ledger_ = ledger(options);
  Advance(milliseconds(0));
  const ledger_claim_message first = Claim(Id());
  Outcome(first);
  Outcome(Claim(Id()));
  CHECK_FALSE(ledger_.Claim(Claim(Id())).has_value());
  CHECK(Outcome(first) == claim_outcome::accepted);
  Advance(minutes(11));
  CHECK(Outcome(Claim(Id())) == claim_outcome::accepted);
}

// Guards against log time that goes backwards when the clock of a new leader is
// behind its predecessor's.
TEST_CASE_METHOD(ledger_fixture, "ledger / earlier time / is ignored") {
  const wall_time now = ledger_.Now();
  ledger_.Advance(now - minutes(5));
  CHECK(ledger_.Now() == now);
}

}  // namespace
}  // namespace almond
