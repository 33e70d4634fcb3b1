#include "bench/policy/failing_figure.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "bench/policy/retry_fleet.h"
#include "bench/policy/run_result.h"

namespace almond::bench {
namespace {

using std::chrono::seconds;

const team_id kTeam("geurproef");
constexpr seconds kRunLength{60};
constexpr std::size_t kJobTasks = 10;

enum class work_kind : std::uint8_t { idempotent, single, job };

const char* Name(work_kind kind) {
  switch (kind) {
    case work_kind::idempotent:
      return "idempotent";
    case work_kind::single:
      return "non-idempotent";
    case work_kind::job:
      break;
  }
  return "jobs of 10";
}

/// Parameters of one run.
struct failing_case {
  double load = 0.9;
  work_kind kind = work_kind::idempotent;
  bool health = true;
  /// Decides the result of a task by agent, task and time since the start.
  std::function<fleet_run(std::size_t, const arrival&, duration)> run;
};

struct failing_result {
  std::uint64_t starts = 0;
  std::uint64_t bad_starts = 0;  ///< starts at agent 0, the failing one
  /// Starts at agent 0 until all entries had ejected it; 0 if not ejected.
  std::uint64_t until_ejected = 0;
  std::size_t most_ejected = 0;  ///< maximum of agents ejected at one entry
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::vector<double> wait;            ///< wait times in seconds
  std::vector<std::uint64_t> goodput;  ///< successful tasks in each 100 ms
};

class failing_run {
 public:
  failing_run(failing_case chosen, std::uint64_t seed)
      : case_(std::move(chosen)), fleet_(Options(seed)) {
    workload_.seed = seed;
    workload_.phases = {{kRunLength, case_.load}};
    result_.goodput.resize(kRunLength.count() * 10 + 1);
  }

  failing_result Run() {
    fleet_.WarmUp();
    start_ = fleet_.Time().Now();
    arrivals_ = MakeArrivals(workload_, start_);
    const std::size_t step = case_.kind == work_kind::job ? kJobTasks : 1;
    for (std::size_t i = 0; i + step <= arrivals_.size(); i += step) {
      // A job arrives at the time of its last task, so that the offered load is
      // the same as with single tasks.
      fleet_.Time().After(arrivals_[i + step - 1].time - start_,
                          [this, i, step] { Arrive(i, step); });
    }
    fleet_.Time().RunUntil(start_ + kRunLength + workload_.timeout);
    return result_;
  }

 private:
  retry_fleet::options Options(std::uint64_t seed) {
    retry_fleet::options options;
    options.seed = seed;
    options.health = case_.health;
    options.run = [this](std::size_t agent, const std::string& body) {
      return case_.run(agent, arrivals_[std::stoull(body)],
                       fleet_.Time().Now() - start_);
    };
    options.on_start = [this](std::size_t agent) { OnStart(agent); };
    options.on_end = [this](const task_end& end) { OnTaskEnd(end); };
    return options;
  }

  void OnStart(std::size_t agent) {
    ++result_.starts;
    if (agent == 0) ++result_.bad_starts;
  }

  void OnTaskEnd(const task_end& end) {
    std::size_t least = SIZE_MAX;
    for (std::size_t i = 0; i < fleet_.Entries(); ++i) {
      least = std::min(least, fleet_.Ejected(i));
      result_.most_ejected = std::max(result_.most_ejected, fleet_.Ejected(i));
    }
    if (least > 0 && result_.until_ejected == 0) {
      result_.until_ejected = result_.bad_starts;
    }
    const auto* done = std::get_if<task_success>(&end.result);
    if (done == nullptr || done->body == retry_fleet::kFailedBody) return;
    result_.wait.push_back(std::chrono::duration<double>(end.wait).count());
    const auto slot = static_cast<std::size_t>((fleet_.Time().Now() - start_) /
                                               milliseconds(100));
    if (slot < result_.goodput.size()) ++result_.goodput[slot];
  }

  void Arrive(std::size_t first, std::size_t count) {
    ++result_.offered;
    const std::size_t entry = fleet_.RandomEntry();
    const steady_time deadline = fleet_.Time().Now() + workload_.timeout;
    if (!fleet_.Admit(entry, kTeam, count, deadline)) return;
    std::vector<std::string> bodies;
    for (std::size_t i = 0; i < count; ++i) {
      bodies.push_back(std::to_string(first + i));
    }
    fleet_.Requests(entry).Submit(
        fleet_.MakeTasks(bodies, kTeam, deadline),
        case_.kind == work_kind::idempotent,
        [this](const job_result& answer) { OnAnswer(answer); });
  }

  void OnAnswer(const job_result& answer) {
    const auto* done = std::get_if<job_success>(&answer);
    if (done == nullptr) return;
    const bool failed = std::any_of(done->bodies.begin(), done->bodies.end(),
                                    [](const std::string& body) {
                                      return body == retry_fleet::kFailedBody;
                                    });
    if (!failed) ++result_.answered;
  }

  failing_case case_;
  workload_settings workload_;
  retry_fleet fleet_;
  steady_time start_;
  std::vector<arrival> arrivals_;
  failing_result result_;
};

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

void PrintOneFailing(std::uint64_t seed, bool fails_fast) {
  std::printf("1 of 11 endpoints fails everything, %s\n",
              fails_fast ? "after 1 ms" : "after the usual run time");
  std::printf("%-5s %-15s %-7s %10s %10s %12s %8s %12s\n", "load", "work",
              "health", "starts", "share of", "starts until", "200",
              "p99 wait");
  std::printf("%-5s %-15s %-7s %10s %10s %12s %8s %12s\n", "", "", "", "at it",
              "all starts", "ejected", "share", "ms");
  for (const double load : {0.5, 0.9, 1.1}) {
    for (const work_kind kind :
         {work_kind::idempotent, work_kind::single, work_kind::job}) {
      for (const bool health : {false, true}) {
        const auto run = [fails_fast](std::size_t agent, const arrival& task,
                                      duration /*at*/) {
          if (agent != 0) return fleet_run{task.run_time, true};
          return fleet_run{fails_fast ? milliseconds(1) : task.run_time, false};
        };
        const failing_result result =
            failing_run({load, kind, health, run}, seed).Run();
        std::printf("%-5.1f %-15s %-7s %10llu %10.4f %12llu %8.4f %12.1f\n",
                    load, Name(kind), health ? "on" : "off",
                    static_cast<unsigned long long>(result.bad_starts),
                    Share(result.bad_starts, result.starts),
                    static_cast<unsigned long long>(result.until_ejected),
                    Share(result.answered, result.offered),
                    Quantile(result.wait, 0.99) * 1000);
      }
    }
  }
}

/// @returns seconds from 20 s after the start until the goodput of one second
///   reaches 95% of that before the fault; -1 if never
double Recovery(const std::vector<std::uint64_t>& goodput) {
  const auto second = [&](std::size_t from) {
    std::uint64_t sum = 0;
    for (std::size_t i = from; i < from + 10; ++i) sum += goodput[i];
    return static_cast<double>(sum);
  };
  double usual = 0;
  for (std::size_t i = 20; i < 100; i += 10) usual += second(i) / 8;
  for (std::size_t i = 200; i + 10 < goodput.size(); ++i) {
    if (second(i) >= 0.95 * usual) return static_cast<double>(i - 200) / 10;
  }
  return -1;
}

void PrintAllFailing(std::uint64_t seed) {
  std::printf("\nall endpoints fail everything from 10 s to 20 s, load 0.7\n");
  std::printf("%-12s %-7s %16s %12s\n", "failing", "health", "most ejected",
              "recovery s");
  for (const bool fails_fast : {true, false}) {
    for (const bool health : {false, true}) {
      const auto run = [fails_fast](std::size_t /*agent*/, const arrival& task,
                                    duration at) {
        if (at < seconds(10) || at >= seconds(20)) {
          return fleet_run{task.run_time, true};
        }
        return fleet_run{fails_fast ? milliseconds(1) : task.run_time, false};
      };
      const failing_result result =
          failing_run({0.7, work_kind::idempotent, health, run}, seed).Run();
      std::printf("%-12s %-7s %16zu %12.1f\n", fails_fast ? "1 ms" : "run time",
                  health ? "on" : "off", result.most_ejected,
                  Recovery(result.goodput));
    }
  }
}

void PrintBadKind(std::uint64_t seed) {
  std::printf("\none kind of task fails everywhere, load 0.7\n");
  std::printf("%-12s %-12s %16s %10s\n", "share of it", "failing",
              "most ejected", "200 share");
  for (const std::uint64_t percent : {1U, 10U, 30U, 50U, 70U, 90U}) {
    for (const bool fails_fast : {true, false}) {
      const auto run = [fails_fast, percent](std::size_t /*agent*/,
                                             const arrival& task,
                                             duration /*at*/) {
        // A multiplicative hash spreads the bad tasks over the arrivals.
        const bool bad =
            task.number * 2654435761U % 2147483647U % 100 < percent;
        if (!bad) return fleet_run{task.run_time, true};
        return fleet_run{fails_fast ? milliseconds(1) : task.run_time, false};
      };
      const failing_result result =
          failing_run({0.7, work_kind::single, true, run}, seed).Run();
      std::printf("%-12.2f %-12s %16zu %10.4f\n",
                  static_cast<double>(percent) / 100,
                  fails_fast ? "1 ms" : "run time", result.most_ejected,
                  Share(result.answered, result.offered));
    }
  }
}

}  // namespace

void PrintFailing(std::uint64_t seed) {
  PrintOneFailing(seed, true);
  std::printf("\n");
  PrintOneFailing(seed, false);
  PrintAllFailing(seed);
  PrintBadKind(seed);
}

}  // namespace almond::bench
