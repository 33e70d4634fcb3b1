#include <catch2/catch.hpp>

#include "replication/log_simulation.h"

namespace almond {
namespace {

constexpr milliseconds kElection{10000};

/// Three replicas with a leader and some committed entries.
class replica_repair_fixture {
 protected:
  replica_repair_fixture() {
    REQUIRE(AwaitLeader());
    for (int i = 0; i < 40; ++i) simulation_.Propose(simulation_.Leader());
    REQUIRE(AwaitCommitted(40));
  }

  bool AwaitLeader() {
    return simulation_.RunUntil(kElection,
                                [&] { return simulation_.Leader() >= 0; });
  }
  bool AwaitCommitted(std::size_t proposals) {
    return simulation_.RunUntil(milliseconds(3000), [&] {
      return simulation_.History().CommittedProposals() >= proposals;
    });
  }
  bool AwaitAdmitted(int replica) {
    return simulation_.RunUntil(milliseconds(5000),
                                [&] { return simulation_.Admitted(replica); });
  }
  /// Runs with a proposal to every replica each second.
  /// @returns the number of entries committed meanwhile
  std::size_t CommittedDuring(milliseconds time) {
    const log_index before = simulation_.History().LastCommitted();
    for (milliseconds ran{0}; ran < time; ran += milliseconds(1000)) {
      for (int i = 0; i < 3; ++i) simulation_.Propose(i);
      simulation_.RunUntil(milliseconds(1000), [] { return false; });
    }
    return simulation_.History().LastCommitted() - before;
  }
  void CheckSettles() {
    CHECK(simulation_.Settle());
    CHECK(simulation_.History().Violations() == std::vector<std::string>());
  }

  log_simulation simulation_{7, 3};
};

// Guards against the loss of acknowledged entries when a second disk is lost
// just after the first was repaired. Every pair of replicas is tested, with and
// without a restart of the other replicas at that moment.
TEST_CASE_METHOD(
    replica_repair_fixture,
    "replica / second disk lost after a repair / no entry is lost") {
  const int first = GENERATE(0, 1, 2);
  const int second = GENERATE(0, 1, 2);
  const bool restart = GENERATE(false, true);
  if (first == second) return;
  simulation_.Replace(first);
  REQUIRE(AwaitAdmitted(first));
  simulation_.Replace(second);
  if (restart) {
    for (int i = 0; i < 3; ++i) {
      if (i == second) continue;
      simulation_.Kill(i);
      simulation_.Start(i);
    }
  }
  CheckSettles();
}

// Guards against an empty disk that counts towards the quorum.
TEST_CASE_METHOD(replica_repair_fixture,
                 "replica / empty disk and one other / nothing commits") {
  const int leader = simulation_.Leader();
  const int emptied = (leader + 1) % 3;
  simulation_.Kill((leader + 2) % 3);
  simulation_.Replace(emptied);
  CHECK(CommittedDuring(milliseconds(10000)) == 0);
  CHECK(simulation_.Leader() == -1);
  CHECK_FALSE(simulation_.Admitted(emptied));
  CheckSettles();
}

// Guards against a replaced disk that counts towards the quorum when it
// returns.
TEST_CASE_METHOD(replica_repair_fixture,
                 "replica / replaced disk returns / no vote") {
  const int returned = (simulation_.Leader() + 1) % 3;
  const persistent_state old = simulation_.Replica(returned).Disk();
  simulation_.Replace(returned);
  REQUIRE(AwaitAdmitted(returned));
  simulation_.Kill(returned);
  simulation_.Replica(returned).RestoreDisk(old, kBootstrapIncarnation);
  simulation_.Start(returned);
  REQUIRE(simulation_.RunUntil(kElection, [&] {
    return simulation_.Replica(returned).Status().replaced;
  }));
  simulation_.Kill((simulation_.Leader() + 1) % 3 == returned
                       ? (simulation_.Leader() + 2) % 3
                       : (simulation_.Leader() + 1) % 3);
  CHECK(CommittedDuring(milliseconds(10000)) == 0);
  CHECK(simulation_.Leader() == -1);
}

// Guards against a leader that takes the vote of a silent replica, whose disk
// is sound, while another disk is lost, so that no majority is left.
TEST_CASE_METHOD(replica_repair_fixture,
                 "replica / place claimed while another disk is lost / leader "
                 "is elected with the claimed replica") {
  const int lost = (simulation_.Leader() + 1) % 3;
  for (int i = 0; i < 3; ++i) simulation_.Kill(i);
  for (int i = 0; i < 3; ++i) {
    if (i != lost) simulation_.Start(i);
  }
  REQUIRE(AwaitLeader());
  simulation_.RunUntil(milliseconds(100), [] { return false; });
  const int silent = 3 - lost - simulation_.Leader();
  const persistent_state sound = simulation_.Replica(silent).Disk();
  const replica_incarnation before = simulation_.Replica(silent).Incarnation();
  // Another process claims the place and begins to fetch the log.
  simulation_.Replace(silent);
  simulation_.RunUntil(milliseconds(1000), [] { return false; });
  simulation_.Kill(silent);
  simulation_.Replica(silent).RestoreDisk(sound, before);
  simulation_.Start(silent);
  simulation_.Replace(lost);
  CHECK(AwaitLeader());
  CheckSettles();
}

// Guards against a leader that continues without a majority, and against an
// outcome other than "unknown" for its uncommitted proposals.
TEST_CASE_METHOD(replica_repair_fixture,
                 "replica / leader cut off / steps down within 2 s") {
  struct cut {
    bool outgoing;
    bool incoming;
  };
  const cut side =
      GENERATE(cut{true, true}, cut{true, false}, cut{false, true});
  const int leader = simulation_.Leader();
  for (int other = 0; other < 3; ++other) {
    if (other == leader) continue;
    if (side.outgoing) simulation_.Block(leader, other);
    if (side.incoming) simulation_.Block(other, leader);
  }
  simulation_.Propose(leader);
  const bool stepped_down = simulation_.RunUntil(milliseconds(2000), [&] {
    return simulation_.Replica(leader).Status().role != replica_role::leader;
  });
  CHECK(stepped_down);
  CHECK(simulation_.RunUntil(milliseconds(4000), [&] {
    return simulation_.Leader() >= 0 && simulation_.Leader() != leader;
  }));
  CheckSettles();
}

// Guards against a replica that receives nothing from the leader and deposes
// it, although the other replica still receives its messages.
TEST_CASE_METHOD(
    replica_repair_fixture,
    "replica / one follower receives nothing from the leader / leader stays") {
  const int leader = simulation_.Leader();
  const log_term term = simulation_.Replica(leader).Status().term;
  simulation_.Block(leader, (leader + 1) % 3);
  CHECK(CommittedDuring(milliseconds(10000)) >= 10);
  CHECK(simulation_.Replica(leader).Status().term == term);
  simulation_.Unblock();
  CHECK(CommittedDuring(milliseconds(10000)) >= 10);
  CHECK(simulation_.Replica(leader).Status().term == term);
  CheckSettles();
}

}  // namespace
}  // namespace almond
