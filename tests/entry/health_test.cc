#include <catch2/catch.hpp>
#include <random>

#include "libalmond/controllers/entry/endpoint_health.h"
#include "libalmond/controllers/entry/retry_budget.h"

namespace almond {
namespace {

class health_fixture {
 protected:
  /// @returns number of consecutive failures until the endpoint is suspect
  std::uint32_t FailUntilSuspect() {
    std::uint32_t failures = 0;
    while (!health_.IsSuspect() && failures < 10000) {
      health_.RecordOutcome(false, now_);
      ++failures;
    }
    return failures;
  }

  endpoint_health health_;
  steady_time now_;
};

// Guards against a failing endpoint that keeps getting starts.
TEST_CASE_METHOD(health_fixture,
                 "endpoint health / fails after successes / soon suspect") {
  for (int i = 0; i < 100; ++i) health_.RecordOutcome(true, now_);
  CHECK(FailUntilSuspect() == 10);
}

TEST_CASE_METHOD(health_fixture,
                 "endpoint health / fails from the start / soon suspect") {
  CHECK(FailUntilSuspect() == 10);
}

// Guards against ejection because of work that fails at every endpoint, where
// several failures in a row occur by chance.
TEST_CASE_METHOD(health_fixture,
                 "endpoint health / share of the work fails / never suspect") {
  const double share = GENERATE(0.1, 0.3, 0.5);
  std::mt19937_64 random(1);
  std::bernoulli_distribution fails(share);
  bool suspect = false;
  for (int i = 0; i < 1000; ++i) {
    health_.RecordOutcome(!fails(random), now_);
    suspect = suspect || health_.IsSuspect();
  }
  CHECK_FALSE(suspect);
  // An endpoint that then fails everything is still detected.
  CHECK(FailUntilSuspect() <= 60);
}

// Guards against endpoints that stay ejected long after a failure of all
// endpoints has ended, and against frequent probes of a single failing one.
TEST_CASE_METHOD(
    health_fixture,
    "endpoint health / failed probes / delay depends on the others") {
  constexpr double kOthersFail = 0.1;
  constexpr double kOthersWork = 1.0;
  health_.Eject(now_);
  for (int i = 0; i < 4; ++i) health_.RecordOutcome(false, now_);
  CHECK_FALSE(health_.ProbeDue(now_ + milliseconds(999), kOthersFail));
  CHECK(health_.ProbeDue(now_ + milliseconds(1000), kOthersFail));
  CHECK_FALSE(health_.ProbeDue(now_ + milliseconds(15999), kOthersWork));
  CHECK(health_.ProbeDue(now_ + milliseconds(16000), kOthersWork));
}

// Guards against a retry storm from tokens saved at many entries.
TEST_CASE("retry budget / long time without failures / few retries at once") {
  retry_budget budget;
  for (int i = 0; i < 10000; ++i) budget.OnRequest();
  int retries = 0;
  while (budget.Take()) ++retries;
  CHECK(retries >= 9);
  CHECK(retries <= 10);
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    if (budget.Take()) ++retries;
  }
  CHECK(retries <= 110);
  CHECK(retries >= 108);
}

}  // namespace
}  // namespace almond
