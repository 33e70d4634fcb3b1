#ifndef ALMOND_BENCH_POLICY_WORKLOAD_H_
#define ALMOND_BENCH_POLICY_WORKLOAD_H_

#include <cmath>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "bench/policy/virtual_time.h"

namespace almond::bench {

/// A period of constant load.
struct load_phase {
  duration length{0};
  double load = 0;  ///< ratio of offered work to capacity
};

/// An open workload: tasks arrive at random times, independent of completions.
struct workload_settings {
  std::vector<load_phase> phases;
  std::uint32_t slots = 88;
  milliseconds short_mean{266};
  double long_share = 0;    ///< ratio of long tasks to all tasks
  double long_factor = 50;  ///< ratio of long to short run times
  double wrong_share = 0;   ///< ratio of tasks with a wrong declared run time
  milliseconds timeout{5000};
  std::uint64_t seed = 1;
};

/// One task of a workload.
struct arrival {
  std::uint64_t number = 0;
  steady_time time;
  duration run_time{0};
  milliseconds declared{0};
  bool is_long = false;
  steady_time deadline;
};

/// @returns the mean run time of all tasks
inline duration MeanRunTime(const workload_settings& settings) {
  const double factor =
      1 - settings.long_share + settings.long_share * settings.long_factor;
  return std::chrono::duration_cast<duration>(settings.short_mean * factor);
}

/// Generates all arrivals of a workload.
/// @param settings phases and task mix
/// @param start time of the first phase
inline std::vector<arrival> MakeArrivals(const workload_settings& settings,
                                         steady_time start) {
  std::mt19937_64 random(settings.seed);
  // Sigma of the lognormal distribution: most short tasks run 50 ms to 1 s.
  constexpr double kSigma = 0.7;
  const double short_mean =
      std::chrono::duration<double>(settings.short_mean).count();
  std::lognormal_distribution<double> length(
      std::log(short_mean) - kSigma * kSigma / 2, kSigma);
  std::uniform_real_distribution<double> share(0, 1);
  const double mean =
      std::chrono::duration<double>(MeanRunTime(settings)).count();
  std::vector<arrival> result;
  steady_time phase_start = start;
  for (const load_phase& phase : settings.phases) {
    std::exponential_distribution<double> gap(phase.load * settings.slots /
                                              mean);
    steady_time time = phase_start;
    const steady_time end = phase_start + phase.length;
    while (phase.load > 0) {
      time += std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(gap(random)));
      if (time >= end) break;
      arrival task;
      task.number = result.size();
      task.time = time;
      task.is_long = share(random) < settings.long_share;
      const double seconds =
          length(random) * (task.is_long ? settings.long_factor : 1);
      task.run_time = std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(seconds));
      const bool wrong = share(random) < settings.wrong_share;
      task.declared = task.is_long != wrong
                          ? std::chrono::duration_cast<milliseconds>(
                                settings.short_mean * settings.long_factor)
                          : settings.short_mean;
      task.deadline = time + settings.timeout;
      result.push_back(task);
    }
    phase_start = end;
  }
  return result;
}

}  // namespace almond::bench

#endif  // ALMOND_BENCH_POLICY_WORKLOAD_H_
