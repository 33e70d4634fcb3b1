// Random fault schedules, one for each seed. With ALMOND_SEED=<n> only the
// schedule of seed n runs:
//   ALMOND_SEED=17 build/release/test_replication
#include <catch2/catch.hpp>
#include <cstdlib>

#include "replication/log_simulation.h"

namespace almond {
namespace {

constexpr std::uint64_t kSchedulesPerCase = 160;

class replica_schedule_fixture {
 protected:
  static std::size_t Replicas(std::uint64_t seed) {
    return seed % 2 == 0 ? 5 : 3;
  }

  /// Gives each seed another mix of faults.
  static fault_rates Rates(std::uint64_t seed) {
    fault_rates rates;
    rates.drop = seed % 3 == 0 ? 0.15 : 0.02;
    rates.duplicate = seed % 5 == 0 ? 0.2 : 0.02;
    rates.long_delay = seed % 7 < 2 ? 0.05 : 0.002;
    rates.kill = seed % 4 == 3 ? 0.02 : 0.004;
    rates.wipe = seed % 11 < 6 ? 0.5 : 0.1;
    rates.partition = seed % 13 < 6 ? 0.006 : 0.001;
    rates.heal = seed % 17 < 3 ? 0.001 : 0.006;
    return rates;
  }

  static std::vector<std::string> RunSchedule(std::uint64_t seed) {
    log_simulation simulation(seed, Replicas(seed));
    simulation.Run(milliseconds(30000), Rates(seed));
    const bool settled = simulation.Settle();
    std::vector<std::string> violations = simulation.History().Violations();
    if (!settled) violations.emplace_back("no progress after the faults");
    return violations;
  }

  static void RunRange(std::uint64_t part) {
    const char* only = std::getenv("ALMOND_SEED");
    const std::uint64_t first = part * kSchedulesPerCase + 1;
    for (std::uint64_t seed = first; seed < first + kSchedulesPerCase; ++seed) {
      if (only != nullptr && std::to_string(seed) != only) continue;
      INFO("reproduce: ALMOND_SEED=" << seed
                                     << " build/release/test_replication");
      CHECK(RunSchedule(seed) == std::vector<std::string>());
    }
  }
};

// Guards against lost or changed entries, two leaders in one term, stale reads,
// false "not_leader" answers and clusters that remain without a leader. The
// test is split into parts so that they run in parallel.
TEST_CASE_METHOD(replica_schedule_fixture,
                 "replica / random faults part 1 / history is correct") {
  RunRange(0);
}
TEST_CASE_METHOD(replica_schedule_fixture,
                 "replica / random faults part 2 / history is correct") {
  RunRange(1);
}
TEST_CASE_METHOD(replica_schedule_fixture,
                 "replica / random faults part 3 / history is correct") {
  RunRange(2);
}
TEST_CASE_METHOD(replica_schedule_fixture,
                 "replica / random faults part 4 / history is correct") {
  RunRange(3);
}
TEST_CASE_METHOD(replica_schedule_fixture,
                 "replica / random faults part 5 / history is correct") {
  RunRange(4);
}
TEST_CASE_METHOD(replica_schedule_fixture,
                 "replica / random faults part 6 / history is correct") {
  RunRange(5);
}
TEST_CASE_METHOD(replica_schedule_fixture,
                 "replica / random faults part 7 / history is correct") {
  RunRange(6);
}
TEST_CASE_METHOD(replica_schedule_fixture,
                 "replica / random faults part 8 / history is correct") {
  RunRange(7);
}

// Guards against a history check that detects nothing: it must detect replicas
// that acknowledge entries before they are synced.
TEST_CASE_METHOD(
    replica_schedule_fixture,
    "history check / syncs acknowledged early / loss is detected") {
  bool found = false;
  for (std::uint64_t seed = 1; seed <= 40 && !found; ++seed) {
    log_simulation simulation(seed, 3);
    for (int i = 0; i < 3; ++i) {
      simulation.Replica(i).SetMaxSyncTime(milliseconds(300));
      simulation.Replica(i).AcknowledgeBeforeSync();
    }
    fault_rates rates;
    rates.kill = 0.02;
    simulation.Run(milliseconds(30000), rates);
    simulation.History().Finish();
    found = !simulation.History().Violations().empty();
  }
  CHECK(found);
}

// Guards against a history check that reports slow syncs as violations.
TEST_CASE_METHOD(replica_schedule_fixture,
                 "history check / slow syncs / no violation") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    log_simulation simulation(seed, 3);
    for (int i = 0; i < 3; ++i) {
      simulation.Replica(i).SetMaxSyncTime(milliseconds(300));
    }
    fault_rates rates;
    rates.kill = 0.02;
    simulation.Run(milliseconds(30000), rates);
    CHECK(simulation.Settle());
    CHECK(simulation.History().Violations() == std::vector<std::string>());
  }
}

}  // namespace
}  // namespace almond
