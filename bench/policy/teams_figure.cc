#include "bench/policy/teams_figure.h"

#include <cstdio>
#include <string>
#include <vector>

#include "bench/policy/retry_fleet.h"
#include "bench/policy/run_result.h"

namespace almond::bench {
namespace {

using std::chrono::seconds;

constexpr seconds kRunLength{60};
const team_id kShared("all");

/// Weight and offered load of one team.
struct team_demand {
  std::string name;
  std::uint32_t weight = 1;
  double load = 0;
  std::size_t job_tasks = 1;  ///< tasks of each submission
};

struct team_result {
  std::uint64_t done = 0;
  double work = 0;  ///< total run time of the completed tasks in seconds
  std::uint64_t refused = 0;
  std::vector<double> wait;  ///< wait times in seconds
};

/// One run of two teams, with the fair queue or with one shared queue.
class teams_run {
 public:
  teams_run(std::vector<team_demand> teams, bool fair, std::uint32_t entries,
            std::uint64_t seed)
      : teams_(std::move(teams)),
        fair_(fair),
        seed_(seed),
        fleet_(Options(entries, seed)),
        results_(teams_.size()) {}

  std::vector<team_result> Run() {
    fleet_.WarmUp();
    start_ = fleet_.Time().Now();
    for (std::size_t team = 0; team < teams_.size(); ++team) Plan(team);
    fleet_.Time().RunUntil(start_ + kRunLength);
    return results_;
  }

 private:
  retry_fleet::options Options(std::uint32_t entries, std::uint64_t seed) {
    retry_fleet::options options;
    options.system.entries = entries;
    options.seed = seed;
    options.run = [this](std::size_t /*agent*/, const std::string& body) {
      return fleet_run{tasks_[std::stoull(body)].second.run_time, true};
    };
    options.team_weight = [this](const team_id& id) {
      for (const team_demand& team : teams_) {
        if (team_id(team.name) == id) return team.weight;
      }
      return 1U;
    };
    options.on_end = [this](const task_end& end) { OnEnd(end); };
    return options;
  }

  void Plan(std::size_t team) {
    workload_settings workload;
    workload.seed = seed_ + team;
    workload.phases = {{kRunLength, teams_[team].load}};
    const auto arrivals = MakeArrivals(workload, start_);
    const std::size_t step = teams_[team].job_tasks;
    for (std::size_t i = 0; i + step <= arrivals.size(); i += step) {
      const std::size_t first = tasks_.size();
      for (std::size_t j = i; j < i + step; ++j) {
        tasks_.emplace_back(team, arrivals[j]);
      }
      fleet_.Time().After(
          arrivals[i + step - 1].time - start_,
          [this, team, first, step] { Arrive(team, first, step); });
    }
  }

  void Arrive(std::size_t team, std::size_t first, std::size_t count) {
    constexpr seconds kTimeout{5};
    const team_id id = fair_ ? team_id(teams_[team].name) : kShared;
    const std::size_t entry = fleet_.RandomEntry();
    const steady_time deadline = fleet_.Time().Now() + kTimeout;
    if (!fleet_.Admit(entry, id, count, deadline)) {
      results_[team].refused += count;
      return;
    }
    std::vector<std::string> bodies;
    for (std::size_t i = first; i < first + count; ++i) {
      bodies.push_back(std::to_string(i));
    }
    fleet_.Jobs(entry).Submit(fleet_.MakeTasks(bodies, id, deadline),
                              [](const job_result& /*answer*/) {});
  }

  void OnEnd(const task_end& end) {
    const auto& [team, task] = tasks_[std::stoull(end.work.body)];
    if (!std::holds_alternative<task_success>(end.result)) {
      ++results_[team].refused;
      return;
    }
    ++results_[team].done;
    results_[team].work += std::chrono::duration<double>(task.run_time).count();
    results_[team].wait.push_back(
        std::chrono::duration<double>(end.wait).count());
  }

  std::vector<team_demand> teams_;
  bool fair_;
  std::uint64_t seed_;
  retry_fleet fleet_;
  steady_time start_;
  /// Team and arrival of each task; a task's body is its index here.
  std::vector<std::pair<std::size_t, arrival>> tasks_;
  std::vector<team_result> results_;
};

void PrintCase(const std::string& title, const std::vector<team_demand>& teams,
               std::uint64_t seed, std::uint32_t entries = 3) {
  constexpr double kSlots = 88;
  std::printf("\n%s\n", title.c_str());
  std::printf("%-6s %-8s %7s %6s %6s %10s %10s %12s %12s %10s\n", "queue",
              "team", "weight", "load", "tasks", "capacity", "share",
              "p50 wait ms", "p99 wait ms", "refused");
  for (const bool fair : {false, true}) {
    const auto results = teams_run(teams, fair, entries, seed).Run();
    double total = 0;
    for (const team_result& result : results) total += result.work;
    for (std::size_t i = 0; i < teams.size(); ++i) {
      const double capacity =
          results[i].work / (kSlots * static_cast<double>(kRunLength.count()));
      std::printf(
          "%-6s %-8s %7u %6.2f %6zu %10.3f %10.3f %12.1f %12.1f %10llu\n",
          fair ? "fair" : "fifo", teams[i].name.c_str(), teams[i].weight,
          teams[i].load, teams[i].job_tasks, capacity, results[i].work / total,
          Quantile(results[i].wait, 0.5) * 1000,
          Quantile(results[i].wait, 0.99) * 1000,
          static_cast<unsigned long long>(results[i].refused));
    }
  }
}

}  // namespace

void PrintTeams(std::uint64_t seed) {
  PrintCase("weights 4 and 1, demand 1 + 1",
            {{"four", 4, 1.0}, {"one", 1, 1.0}}, seed);
  PrintCase("weights 4 and 1, demand 0.6 + 1.4",
            {{"four", 4, 0.6}, {"one", 1, 1.4}}, seed);
  PrintCase("light team beside a heavy one",
            {{"light", 1, 0.1}, {"heavy", 1, 2.0}}, seed);
  const std::vector<team_demand> jobs = {{"single", 1, 0.4},
                                         {"jobs", 1, 0.4, 390}};
  PrintCase("jobs of 390 tasks beside single requests", jobs, seed);
  PrintCase("the same with one entry", jobs, seed, 1);
}

}  // namespace almond::bench
