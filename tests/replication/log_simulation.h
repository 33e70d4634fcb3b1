#ifndef ALMOND_REPLICATION_LOG_SIMULATION_H_
#define ALMOND_REPLICATION_LOG_SIMULATION_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "replication/simulated_replica.h"

namespace almond {

/// Probabilities of faults, each for one message or for one step of 10 ms.
struct fault_rates {
  double drop = 0;
  double duplicate = 0;
  double long_delay = 0;
  double kill = 0;
  double wipe = 0;  ///< share of kills that also empty the disk
  double restart = 0.02;
  double partition = 0;
  double heal = 0.005;
};

/// Several replicas and a network in simulated time.
class log_simulation {
 public:
  static constexpr milliseconds kStep{10};
  static constexpr std::size_t kMaxPlaces = 9;

  /// @param founders number of replicas that form the cluster; the others
  ///   start with empty disks; 0 means all
  /// @param joining number of replicas, the last ones, that have no place at
  ///   the bootstrap
  log_simulation(std::uint64_t seed, std::size_t replicas,
                 std::size_t founders = 0, std::size_t joining = 0);

  /// Runs with random faults and client operations.
  void Run(milliseconds time, const fault_rates& rates);
  /// Ends all faults and runs until a new proposal is applied at every replica
  /// and every disk is admitted.
  /// @returns false if that takes more than a minute of simulated time
  bool Settle();
  /// Runs without injecting faults until the condition holds.
  /// @returns false if it does not hold within the limit
  bool RunUntil(milliseconds limit, const std::function<bool()>& condition);

  /// @returns the index of the running leader with the highest term, or -1
  int Leader() const;
  bool Propose(int replica);
  void Kill(int replica) { replicas_[replica]->Kill(); }
  void Start(int replica) { replicas_[replica]->Start(now_); }
  /// Kills the replica, empties its disk and starts it again.
  void Replace(int replica);
  /// Blocks messages in one direction.
  void Block(int from, int to) { blocked_.emplace(from, to); }
  void Unblock() { blocked_.clear(); }
  /// @returns true if the replica's current incarnation is a voter in the
  ///   committed log of any running replica
  bool Admitted(int replica) const;

  simulated_replica& Replica(int replica) { return *replicas_[replica]; }
  /// @returns the leader that a running replica names to others after a further
  ///   time in which it handles nothing
  replica_id LiveLeader(int replica, milliseconds later = {}) const {
    return replicas_[replica]->LiveLeader(now_ + later);
  }
  log_history& History() { return history_; }

 private:
  void Step();
  void Send(const replica_message& message);
  int IndexOf(const replica_id& id) const;
  bool Chance(double probability);
  void InjectFaults(const fault_rates& rates);
  void KillOne(const fault_rates& rates);
  void Partition();
  void IssueClientOperations();
  std::size_t UnadmittedCount() const;

  std::mt19937_64 random_;
  steady_time now_{std::chrono::hours(1)};
  log_history history_;
  std::vector<std::unique_ptr<simulated_replica>> replicas_;
  std::multimap<steady_time, replica_message> network_;
  std::set<std::pair<int, int>> blocked_;
  fault_rates rates_;
  std::uint64_t next_command_ = 1;
  std::uint64_t next_incarnation_ = 2;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_LOG_SIMULATION_H_
