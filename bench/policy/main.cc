// Measures scheduling policies in virtual time: almondproxy's controllers
// against baselines, with the same arrivals.

#include <gflags/gflags.h>

#include <cstdio>
#include <string>

#include "bench/policy/failing_figure.h"
#include "bench/policy/grant_policy.h"
#include "bench/policy/retry_figure.h"
#include "bench/policy/teams_figure.h"
#include "bench/policy/worker_queue_policy.h"

DEFINE_string(
    figure, "messages",
    "figure to measure: messages, blocking, peak, retries, failing or "
    "teams");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_double(load, 0, "only this load, 0 for all; used by blocking");
DEFINE_uint32(seconds, 120, "length of each run in seconds of virtual time");

namespace almond::bench {
namespace {

using std::chrono::seconds;

constexpr double kMilli = 1000;

void PrintMessages() {
  std::printf("%-6s %-22s %10s %10s %10s %10s %12s %12s\n", "load", "policy",
              "p50 wait", "p99 wait", "p999 wait", "completed", "msgs/task",
              "wasted/task");
  std::printf("%-6s %-22s %10s %10s %10s %10s\n", "", "", "ms", "ms", "ms",
              "share");
  for (const double load : {0.5, 0.7, 0.9, 1.1}) {
    workload_settings workload;
    workload.seed = FLAGS_seed;
    workload.phases = {{seconds(FLAGS_seconds), load}};
    const system_settings system;
    for (const run_result& run :
         {RunWorkerQueues(worker_choice::random, system, workload),
          RunWorkerQueues(worker_choice::power_of_two, system, workload),
          RunGrants({}, system, workload)}) {
      const auto tasks = static_cast<double>(run.offered);
      std::printf("%-6.1f %-22s %10.1f %10.1f %10.1f %10.4f %12.2f %12.3f\n",
                  load, run.policy.c_str(),
                  Quantile(run.short_wait, 0.5) * kMilli,
                  Quantile(run.short_wait, 0.99) * kMilli,
                  Quantile(run.short_wait, 0.999) * kMilli,
                  static_cast<double>(run.completed) / tasks,
                  static_cast<double>(run.messages) / tasks,
                  static_cast<double>(run.wasted) / tasks);
      for (const auto& [type, count] : run.by_type) {
        std::printf("%-6s   %-16s %8.3f per task\n", "", type.c_str(),
                    static_cast<double>(count) / tasks);
      }
    }
  }
}

void PrintBlockingRow(const workload_settings& workload, double load) {
  const system_settings system;
  const run_result fifo = RunGrants({std::nullopt, false}, system, workload);
  const run_result suspended =
      RunGrants({milliseconds(2000), false}, system, workload);
  const double fifo_long = Quantile(fifo.long_response, 0.5);
  const double long_median = Quantile(suspended.long_response, 0.5);
  std::printf(
      "%-5.1f %-6.2f %-6.0f %-6.1f %9.3f %9.3f %9.3f %9.3f %9.2f %9.2f "
      "%+8.1f%%\n",
      load, workload.long_share, workload.long_factor, workload.wrong_share,
      Quantile(fifo.short_wait, 0.99), Quantile(fifo.short_wait, 0.999),
      Quantile(suspended.short_wait, 0.99),
      Quantile(suspended.short_wait, 0.999), fifo_long, long_median,
      100 * (long_median / fifo_long - 1));
}

/// Prints waits of short tasks and response times of long tasks, with and
/// without suspension. Admission control is off, so that both run all tasks.
void PrintBlocking() {
  std::printf("%-26s %19s %19s %29s\n", "", "FIFO short wait, s",
              "susp. short wait, s", "long response median, s");
  std::printf("%-5s %-6s %-6s %-6s %9s %9s %9s %9s %9s %9s %9s\n", "load",
              "share", "factor", "wrong", "p99", "p999", "p99", "p999", "FIFO",
              "susp.", "change");
  for (const double load : {0.7, 0.9, 1.1}) {
    if (FLAGS_load > 0 && load != FLAGS_load) continue;
    for (const double share : {0.01, 0.05, 0.1}) {
      for (const double factor : {20.0, 50.0, 100.0}) {
        for (const double wrong : {0.0, 0.3}) {
          workload_settings workload;
          workload.seed = FLAGS_seed;
          workload.phases = {{seconds(FLAGS_seconds), load}};
          workload.long_share = share;
          workload.long_factor = factor;
          workload.wrong_share = wrong;
          workload.timeout = milliseconds(600'000);
          PrintBlockingRow(workload, load);
        }
      }
    }
  }
}

std::uint64_t Sum(const std::vector<std::uint64_t>& values, std::size_t begin,
                  std::size_t end) {
  std::uint64_t sum = 0;
  for (std::size_t i = begin; i < end && i < values.size(); ++i) {
    sum += values[i];
  }
  return sum;
}

void PrintPeak() {
  std::printf("constant load, deadline 5 s\n");
  std::printf("%-6s %-26s %12s %14s %14s\n", "load", "policy", "goodput /s",
              "refusal p99 ms", "response ratio");
  for (const double load : {0.5, 1.0, 2.0, 3.0}) {
    workload_settings workload;
    workload.seed = FLAGS_seed;
    workload.phases = {{seconds(FLAGS_seconds), load}};
    const system_settings system;
    for (const run_result& run :
         {RunWorkerQueues(worker_choice::power_of_two, system, workload),
          RunGrants({std::nullopt, false}, system, workload),
          RunGrants({}, system, workload)}) {
      std::printf("%-6.1f %-26s %12.1f %14.1f %14.2f\n", load,
                  run.policy.c_str(),
                  static_cast<double>(run.completed) / FLAGS_seconds,
                  Quantile(run.refusal_delay, 0.99) * kMilli,
                  Quantile(run.ratio, 0.99));
    }
  }
  std::printf("\nstep from 0.3 to 3 and back: goodput per second\n");
  workload_settings workload;
  workload.seed = FLAGS_seed;
  workload.phases = {
      {seconds(10), 0.3}, {seconds(10), 3.0}, {seconds(10), 0.3}};
  const run_result run = RunGrants({}, {}, workload);
  std::printf("%6s %10s %14s\n", "second", "goodput", "p99 wait, ms");
  for (std::size_t second = 0; second < run.goodput.size(); ++second) {
    std::printf("%6zu %10llu %14.1f\n", second,
                static_cast<unsigned long long>(run.goodput[second]),
                Quantile(run.wait_by_second[second], 0.99) * kMilli);
  }
  std::printf("during the step: %llu, refused %llu of %llu\n",
              static_cast<unsigned long long>(Sum(run.goodput, 10, 20)),
              static_cast<unsigned long long>(run.refused),
              static_cast<unsigned long long>(run.offered));
}

}  // namespace
}  // namespace almond::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures scheduling policies in virtual time");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_figure == "messages") {
    almond::bench::PrintMessages();
  } else if (FLAGS_figure == "blocking") {
    almond::bench::PrintBlocking();
  } else if (FLAGS_figure == "peak") {
    almond::bench::PrintPeak();
  } else if (FLAGS_figure == "retries") {
    almond::bench::PrintRetries(FLAGS_seed);
  } else if (FLAGS_figure == "failing") {
    almond::bench::PrintFailing(FLAGS_seed);
  } else if (FLAGS_figure == "teams") {
    almond::bench::PrintTeams(FLAGS_seed);
  } else {
    std::fprintf(stderr, "unknown figure %s\n", FLAGS_figure.c_str());
    return 2;
  }
  return 0;
}
