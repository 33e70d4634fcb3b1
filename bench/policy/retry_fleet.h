#ifndef ALMOND_BENCH_POLICY_RETRY_FLEET_H_
#define ALMOND_BENCH_POLICY_RETRY_FLEET_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/policy/virtual_time.h"
#include "bench/policy/worker_queue_policy.h"
#include "libalmond/controllers/agent/agent_controller.h"
#include "libalmond/controllers/entry/request_controller.h"

namespace almond::bench {

/// Run time and result of one task.
struct fleet_run {
  duration length{0};
  bool success = true;
};

/// almondproxy's controllers of several entries and agents in virtual time.
class retry_fleet {
 public:
  struct options {
    system_settings system;
    std::uint64_t seed = 1;
    /// If false, entries receive a failure as a success with the body
    /// kFailedBody, so that they rank endpoints by free slots only.
    bool health = true;
    /// Decides run time and result of a task by agent and task body.
    std::function<fleet_run(std::size_t, const std::string&)> run;
    std::function<std::uint32_t(const team_id&)> team_weight =
        [](const team_id& /*team*/) { return 1U; };
    /// Called with the end of each task.
    std::function<void(const task_end&)> on_end = [](const task_end&) {};
    /// Called with the agent's index for each start that an entry sends.
    std::function<void(std::size_t)> on_start = [](std::size_t) {};
  };
  static constexpr const char* kFailedBody = "failed";

  explicit retry_fleet(options chosen);

  /// Connects all entries and agents and runs until the grants are distributed.
  void WarmUp();

  virtual_time& Time() { return time_; }
  std::mt19937_64& Random() { return random_; }
  std::size_t RandomEntry();
  job_controller& Jobs(std::size_t entry) { return entries_[entry]->jobs; }
  request_controller& Requests(std::size_t entry) {
    return entries_[entry]->requests;
  }
  /// Makes the tasks of one submission.
  /// @param bodies one for each task
  std::vector<task> MakeTasks(const std::vector<std::string>& bodies,
                              const team_id& team, steady_time deadline);
  /// Applies the overload filter's admission rule.
  bool Admit(std::size_t entry, const team_id& team, std::size_t tasks,
             steady_time deadline);
  std::size_t Queued() const;
  /// @returns number of agents that an entry has ejected
  std::size_t Ejected(std::size_t entry) const;
  std::size_t Entries() const { return entries_.size(); }

 private:
  struct entry_node {
    entry_node(retry_fleet& fleet, std::size_t index);
    metrics_registry metrics;
    dispatch_controller dispatch;
    job_controller jobs;
    request_controller requests;
  };
  struct agent_node {
    metrics_registry metrics;
    std::unique_ptr<agent_controller> agent;
  };

  link_id Link(std::size_t entry, std::size_t agent) const;
  void AddAgent(std::size_t index);
  void SendToAgent(link_id link, const entry_message& message);
  void SendToEntry(link_id link, agent_message message);
  void StartRun(std::size_t agent, run_id run, const std::string& body);
  void TickAgent(std::size_t index, std::uint64_t ticks);
  void TickEntry(std::size_t index);

  options options_;
  std::mt19937_64 random_;
  virtual_time time_;
  std::vector<std::unique_ptr<entry_node>> entries_;
  std::vector<std::unique_ptr<agent_node>> agents_;
};

}  // namespace almond::bench

#endif  // ALMOND_BENCH_POLICY_RETRY_FLEET_H_
