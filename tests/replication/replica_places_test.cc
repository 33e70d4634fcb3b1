#include <catch2/catch.hpp>

#include "replication/log_simulation.h"

namespace almond {
namespace {

/// Five replicas, of which three form the cluster.
class replica_places_fixture {
 protected:
  static constexpr int kReplicas = 5;
  static constexpr int kFounders = 3;

  static bool AwaitAdmitted(log_simulation& simulation) {
    return simulation.RunUntil(milliseconds(10000), [&] {
      for (int i = 0; i < kReplicas; ++i) {
        if (!simulation.Admitted(i)) return false;
      }
      return true;
    });
  }
  static bool AwaitCommitted(log_simulation& simulation, std::size_t count) {
    return simulation.RunUntil(milliseconds(5000), [&] {
      return simulation.History().CommittedProposals() >= count;
    });
  }
};

// Guards against vacant places that are never filled.
TEST_CASE_METHOD(replica_places_fixture,
                 "replica places / three founders of five / all are admitted") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    log_simulation simulation(seed, kReplicas, kFounders);
    REQUIRE(AwaitAdmitted(simulation));
    CHECK(simulation.Settle());
    CHECK(simulation.History().Violations() == std::vector<std::string>());
  }
}

// Guards against an entry that commits on two disks while places are vacant.
TEST_CASE_METHOD(replica_places_fixture,
                 "replica places / two founders and vacant places / nothing "
                 "commits") {
  log_simulation simulation(3, kReplicas, kFounders);
  for (int i = kFounders - 1; i < kReplicas; ++i) simulation.Kill(i);
  CHECK_FALSE(simulation.RunUntil(milliseconds(10000),
                                  [&] { return simulation.Leader() >= 0; }));
}

// Guards against an acknowledged entry that is lost with two of five disks
// while all other replicas restart. Every pair of disks is tested.
TEST_CASE_METHOD(replica_places_fixture,
                 "replica places / two disks lost after a commit / entry is "
                 "kept") {
  const int first = GENERATE(range(0, 4));
  const int second = GENERATE_COPY(range(first + 1, 5));
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    log_simulation simulation(seed, kReplicas, kFounders);
    REQUIRE(AwaitAdmitted(simulation));
    const std::size_t before = simulation.History().CommittedProposals();
    REQUIRE(simulation.Propose(simulation.Leader()));
    REQUIRE(AwaitCommitted(simulation, before + 1));
    for (int i = 0; i < kReplicas; ++i) {
      if (i == first || i == second) {
        simulation.Replace(i);
      } else {
        simulation.Kill(i);
        simulation.Start(i);
      }
    }
    CHECK(simulation.Settle());
    CHECK(simulation.History().Violations() == std::vector<std::string>());
  }
}

// Guards against lost entries under random kills, wiped disks and partitions
// while the places are being filled.
TEST_CASE_METHOD(replica_places_fixture,
                 "replica places / random faults / history is consistent") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    log_simulation simulation(seed, kReplicas, kFounders);
    fault_rates rates;
    rates.drop = 0.02;
    rates.kill = 0.01;
    rates.wipe = 0.3;
    rates.partition = 0.003;
    simulation.Run(milliseconds(30000), rates);
    CHECK(simulation.Settle());
    CHECK(simulation.History().Violations() == std::vector<std::string>());
  }
}

}  // namespace
}  // namespace almond
