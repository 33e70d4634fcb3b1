#ifndef ALMOND_BENCH_POLICY_WORKLOAD_H_
#define ALMOND_BENCH_POLICY_WORKLOAD_H_

#include <cmath>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "bench/policy/virtual_time.h"

namespace almond::bench {

/// A stretch of time with constant load.
struct load_phase {
  duration length{0};
  double load = 0;  ///< offered work over capacity
};

/// Tasks that arrive at random times, independent of their completion.
struct workload_settings {
  std::vector<load_phase> phases;
  std::uint32_t slots = 88;
  milliseconds short_mean{266};
  double long_share = 0;    ///< share of tasks that are stragglers
  double long_factor = 50;  ///< their length over that of short tasks
  double wrong_share = 0;   ///< share of declarations that are wrong
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

/// @returns mean run time of the workload's tasks
inline duration MeanRunTime(const workload_settings& settings) {
  const double factor =
      1 - settings.long_share + settings.long_share * settings.long_factor;
  return std::chrono::duration_cast<duration>(settings.short_mean * factor);
}

/// Draws all arrivals of a workload.
/// @param settings phases and mix
/// @param start time of the first phase
inline std::vector<arrival> MakeArrivals(const workload_settings& settings,
                                         steady_time start) {
  std::mt19937_64 random(settings.seed);
  // Most short tasks last 50 ms to 1 s: lognormal with this spread.
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
