#include <catch2/catch.hpp>

#include "replication/log_simulation.h"

namespace almond {
namespace {

/// Five places, of which three found the cluster, and two replicas without one.
class replica_growth_fixture {
 protected:
  static constexpr int kReplicas = 7;
  static constexpr int kFounders = 3;
  static constexpr int kJoining = 2;
  static constexpr milliseconds kLimit{10000};

  static std::size_t Places(log_simulation& simulation) {
    const int leader = simulation.Leader();
    return leader < 0 ? 0 : simulation.Replica(leader).Status().places;
  }
  static bool AwaitPlaces(log_simulation& simulation, std::size_t places) {
    return simulation.RunUntil(kLimit,
                               [&] { return Places(simulation) == places; });
  }
  static bool AwaitAdmitted(log_simulation& simulation, int replicas) {
    return simulation.RunUntil(kLimit, [&] {
      for (int i = 0; i < replicas; ++i) {
        if (!simulation.Admitted(i)) return false;
      }
      return true;
    });
  }
  static void RunFor(log_simulation& simulation, milliseconds time) {
    simulation.RunUntil(time, [] { return false; });
  }
  /// Separates the first replicas from the others.
  static void Cut(log_simulation& simulation, int first) {
    for (int i = 0; i < first; ++i) {
      for (int other = first; other < kReplicas; ++other) {
        simulation.Block(i, other);
        simulation.Block(other, i);
      }
    }
  }
  static void CheckHistory(log_simulation& simulation) {
    CHECK(simulation.Settle());
    CHECK(simulation.History().Violations() == std::vector<std::string>());
  }
};

// Guards against replicas that wait beside a cluster that may grow.
TEST_CASE_METHOD(replica_growth_fixture,
                 "replica growth / two replicas without a place / both become "
                 "voters") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    log_simulation simulation(seed, kReplicas, kFounders, kJoining);
    REQUIRE(AwaitAdmitted(simulation, kReplicas));
    CHECK(Places(simulation) == 7);
    CheckHistory(simulation);
  }
}

// Guards against an acknowledgement by a minority of the processes that holds a
// majority of the places of the bootstrap.
TEST_CASE_METHOD(replica_growth_fixture,
                 "replica growth / three of seven cut off with the leader / "
                 "only the others commit") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    log_simulation simulation(seed, kReplicas, kFounders, kJoining);
    REQUIRE(AwaitAdmitted(simulation, kReplicas));
    const int old_leader = simulation.Leader();
    const std::size_t before = simulation.History().CommittedProposals();
    Cut(simulation, 3);
    for (int i = 0; i < 3; ++i) simulation.Propose(i);
    RunFor(simulation, milliseconds(3000));
    CHECK(simulation.History().CommittedProposals() == before);
    const int leader = simulation.Leader();
    CHECK(leader >= 3);
    CHECK((old_leader < 3 || old_leader == leader));
    simulation.Propose(leader);
    RunFor(simulation, milliseconds(1000));
    CHECK(simulation.History().CommittedProposals() == before + 1);
    CheckHistory(simulation);
  }
}

// Guards against a place that is added for a replica that waits beside the
// smaller part of a cut cluster.
TEST_CASE_METHOD(replica_growth_fixture,
                 "replica growth / replicas without a place beside a minority "
                 "/ no place is added") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    log_simulation simulation(seed, kReplicas, kFounders, kJoining);
    simulation.Kill(5);
    simulation.Kill(6);
    REQUIRE(AwaitAdmitted(simulation, 5));
    Cut(simulation, 3);
    simulation.Start(5);
    simulation.Start(6);
    RunFor(simulation, milliseconds(5000));
    CHECK(Places(simulation) == 5);
    CheckHistory(simulation);
    CHECK(Places(simulation) == 7);
  }
}

// Guards against an even number of places, which depends on one replica more
// and tolerates no more losses.
TEST_CASE_METHOD(replica_growth_fixture,
                 "replica growth / one replica without a place / no place is "
                 "added") {
  log_simulation simulation(4, kReplicas, kFounders, kJoining);
  simulation.Kill(6);
  REQUIRE(AwaitAdmitted(simulation, 5));
  RunFor(simulation, milliseconds(5000));
  CHECK(Places(simulation) == 5);
}

// Guards against a larger majority while a place is not held, which the present
// voters might not reach.
TEST_CASE_METHOD(replica_growth_fixture,
                 "replica growth / voter down / places are added after it is "
                 "back") {
  log_simulation simulation(5, kReplicas, kFounders, kJoining);
  simulation.Kill(4);
  REQUIRE(AwaitAdmitted(simulation, 4));
  RunFor(simulation, milliseconds(5000));
  CHECK(Places(simulation) == 5);
  simulation.Start(4);
  CHECK(AwaitPlaces(simulation, 7));
}

// Guards against growth beyond the configured number, or without the setting.
TEST_CASE_METHOD(replica_growth_fixture,
                 "replica growth / more replicas than places / ends at the "
                 "maximum") {
  log_simulation simulation(6, 12, 0, 5);
  REQUIRE(AwaitPlaces(simulation, log_simulation::kMaxPlaces));
  RunFor(simulation, milliseconds(3000));
  CHECK(Places(simulation) == log_simulation::kMaxPlaces);
}

// Guards against a cluster without a leader after the leader is lost between
// the two changes, and against places that are forgotten at a restart.
TEST_CASE_METHOD(replica_growth_fixture,
                 "replica growth / all restart between the changes / both "
                 "places are kept") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    log_simulation simulation(seed, kReplicas, kFounders, kJoining);
    REQUIRE(AwaitPlaces(simulation, 6));
    for (int i = 0; i < kReplicas; ++i) simulation.Kill(i);
    for (int i = 0; i < kReplicas; ++i) simulation.Start(i);
    REQUIRE(AwaitPlaces(simulation, 7));
    CheckHistory(simulation);
  }
}

// Guards against an acknowledged entry that is lost with the disks of three of
// seven replicas, those of new places among them.
TEST_CASE_METHOD(replica_growth_fixture,
                 "replica growth / three disks lost after a commit / entry is "
                 "kept") {
  const int first = GENERATE(0, 2, 4);
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    log_simulation simulation(seed, kReplicas, kFounders, kJoining);
    REQUIRE(AwaitAdmitted(simulation, kReplicas));
    const std::size_t before = simulation.History().CommittedProposals();
    REQUIRE(simulation.Propose(simulation.Leader()));
    REQUIRE(simulation.RunUntil(kLimit, [&] {
      return simulation.History().CommittedProposals() > before;
    }));
    for (int i = 0; i < kReplicas; ++i) {
      if (i >= first && i < first + 3) {
        simulation.Replace(i);
      } else {
        simulation.Kill(i);
        simulation.Start(i);
      }
    }
    CheckHistory(simulation);
    CHECK(Places(simulation) == 7);
  }
}

// Guards against lost entries under random kills, wiped disks and partitions
// while places are added.
TEST_CASE_METHOD(replica_growth_fixture,
                 "replica growth / random faults / history is consistent") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    log_simulation simulation(seed, kReplicas, kFounders, kJoining);
    fault_rates rates;
    rates.drop = 0.02;
    rates.kill = seed % 3 == 0 ? 0.01 : 0.003;
    rates.wipe = 0.3;
    rates.partition = 0.002;
    simulation.Run(milliseconds(30000), rates);
    CheckHistory(simulation);
    CHECK(Places(simulation) == 7);
  }
}

}  // namespace
}  // namespace almond
