#include <catch2/catch.hpp>

#include "replication/log_simulation.h"

namespace almond {
namespace {

/// Three replicas that elect a leader and are then all killed.
class replica_start_fixture {
 protected:
  void KillAllReplicas(log_simulation& simulation) {
    REQUIRE(simulation.RunUntil(milliseconds(10000),
                                [&] { return simulation.Leader() >= 0; }));
    for (int i = 0; i < kReplicas; ++i) simulation.Kill(i);
  }
  static bool AwaitLeader(log_simulation& simulation, milliseconds limit) {
    return simulation.RunUntil(limit, [&] { return simulation.Leader() >= 0; });
  }

  static constexpr int kReplicas = 3;
};

// Guards against callers that are refused after a restart of all replicas while
// the replicas wait for a leader, although none can be running.
TEST_CASE_METHOD(replica_start_fixture,
                 "replica / all start together / leader is elected at once") {
  int slow = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    log_simulation simulation(seed, kReplicas);
    KillAllReplicas(simulation);
    for (int i = 0; i < kReplicas; ++i) simulation.Start(i);
    if (!AwaitLeader(simulation, milliseconds(350))) ++slow;
    CHECK(AwaitLeader(simulation, milliseconds(10000)));
  }
  // Two candidates at the same time need another election.
  CHECK(slow <= 4);
}

// Guards against a leader that answers processes before it has applied what
// earlier leaders have acknowledged.
TEST_CASE_METHOD(replica_start_fixture,
                 "replica / all start together / leader is established once it "
                 "has applied all that was acknowledged") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    log_simulation simulation(seed, kReplicas);
    REQUIRE(AwaitLeader(simulation, milliseconds(10000)));
    for (int i = 0; i < 5; ++i) {
      simulation.Propose(simulation.Leader());
      simulation.RunUntil(milliseconds(100), [] { return false; });
    }
    const replica_status before =
        simulation.Replica(simulation.Leader()).Status();
    REQUIRE(before.applied_index >= 5);
    KillAllReplicas(simulation);
    for (int i = 0; i < kReplicas; ++i) simulation.Start(i);
    REQUIRE(AwaitLeader(simulation, milliseconds(10000)));
    CHECK_FALSE(simulation.Replica(simulation.Leader()).IsEstablished());
    REQUIRE(simulation.RunUntil(milliseconds(1000), [&] {
      const int leader = simulation.Leader();
      return leader >= 0 && simulation.Replica(leader).IsEstablished();
    }));
    CHECK(simulation.Replica(simulation.Leader()).Status().applied_index >=
          before.applied_index);
  }
}

// Guards against operators and processes that are sent to a frozen leader until
// the next election.
TEST_CASE_METHOD(replica_start_fixture,
                 "replica / leader silent / not named before the election") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    log_simulation simulation(seed, kReplicas);
    REQUIRE(AwaitLeader(simulation, milliseconds(10000)));
    simulation.RunUntil(milliseconds(1000), [] { return false; });
    const int leader = simulation.Leader();
    const int other = (leader + 1) % kReplicas;
    const replica_id id = simulation.Replica(leader).Id();
    REQUIRE(simulation.LiveLeader(other) == id);
    simulation.Kill(leader);
    simulation.RunUntil(replica::kLeaderSilenceTimeout + milliseconds(40),
                        [] { return false; });
    CHECK(simulation.LiveLeader(other).Empty());
  }
}

// Guards against a leader that answers as such after it was suspended, before
// its first tick.
TEST_CASE_METHOD(replica_start_fixture,
                 "replica / leader suspended / no longer names itself") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    log_simulation simulation(seed, kReplicas);
    REQUIRE(AwaitLeader(simulation, milliseconds(10000)));
    simulation.RunUntil(milliseconds(1000), [] { return false; });
    const int leader = simulation.Leader();
    CHECK(simulation.LiveLeader(leader) == simulation.Replica(leader).Id());
    CHECK(simulation.LiveLeader(leader, milliseconds(2000)).Empty());
  }
}

// Guards against a restarted replica that deposes the current leader.
TEST_CASE_METHOD(replica_start_fixture,
                 "replica / one follower restarts / leader stays") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    log_simulation simulation(seed, kReplicas);
    REQUIRE(AwaitLeader(simulation, milliseconds(10000)));
    simulation.RunUntil(milliseconds(500), [] { return false; });
    const int leader = simulation.Leader();
    const int other = (leader + 1) % kReplicas;
    simulation.Kill(other);
    simulation.Start(other);
    simulation.RunUntil(milliseconds(1500), [] { return false; });
    CHECK(simulation.Leader() == leader);
  }
}

}  // namespace
}  // namespace almond
