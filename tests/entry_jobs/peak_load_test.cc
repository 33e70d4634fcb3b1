#include <array>
#include <catch2/catch.hpp>

#include "entry_jobs/load_simulation.h"

namespace almond {
namespace {

/// Simulates a load of the three kinds of MixedLoad.
class peak_load_fixture {
 protected:
  static constexpr std::int64_t kTaskCpu = 6200;

  /// Simulates the load with three seeds and sums the results.
  void RunLoad(double load) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) RunLoadOnce(load, seed);
  }
  void RunLoadOnce(double load, std::uint64_t seed) {
    load_simulation simulation(seed, settings_, kinds_);
    simulation.RunLoad(std::chrono::seconds(2), 0.7);
    simulation.ResetResults();
    simulation.RunLoad(std::chrono::seconds(8), load);
    simulation.RunIdle(std::chrono::seconds(4));
    for (std::size_t kind = 0; kind < results_.size(); ++kind) {
      const load_simulation::result& added = simulation.Results()[kind];
      results_[kind].jobs += added.jobs;
      results_[kind].in_time += added.in_time;
      results_[kind].late += added.late;
      results_[kind].refused += added.refused;
      results_[kind].wide_jobs += added.wide_jobs;
      results_[kind].wide_in_time += added.wide_in_time;
    }
  }
  double InTimeShare(std::size_t kind) const {
    return Share(results_[kind].in_time, results_[kind].jobs);
  }
  /// @returns share of the jobs that are neither completed within three times
  ///   their objective nor refused as not run
  double UnresolvedShare(std::size_t kind) const {
    const load_simulation::result& counted = results_[kind];
    return 1 - Share(counted.in_time + counted.late + counted.refused,
                     counted.jobs);
  }
  static double Share(std::size_t part, std::size_t whole) {
    return static_cast<double>(part) / static_cast<double>(whole);
  }

  load_simulation::settings settings_;
  std::vector<load_kind> kinds_ = MixedLoad(kTaskCpu);
  std::array<load_simulation::result, 3> results_;
};

// In a peak with 10% less work than capacity, nearly all jobs of each kind must
// be in time.
TEST_CASE_METHOD(
    peak_load_fixture,
    "peak load / 10% less work than capacity / nearly all in time") {
  RunLoad(0.9);
  for (std::size_t kind = 0; kind < results_.size(); ++kind) {
    INFO("kind " << kind);
    CHECK(InTimeShare(kind) >= 0.9);
  }
}

// For 8 s there is 25% more work than capacity, so a fifth of it cannot be
// served. Guards against answering that fifth too late for its callers to
// react, and against putting all of the loss on the short or the long jobs.
TEST_CASE_METHOD(peak_load_fixture,
                 "peak load / 25% more work than capacity / most in time, the "
                 "rest refused") {
  RunLoad(1.25);
  CHECK(InTimeShare(0) >= 0.7);
  CHECK(InTimeShare(1) >= 0.4);
  CHECK(InTimeShare(2) >= 0.5);
  for (std::size_t kind = 0; kind < results_.size(); ++kind) {
    INFO("kind " << kind);
    CHECK(UnresolvedShare(kind) <= 0.15);
  }
}

// Guards against serving the narrow jobs of each kind at the cost of the wide
// ones, which are as late as their last task.
TEST_CASE_METHOD(peak_load_fixture,
                 "peak load / uneven jobs and endpoints, 10% less work than "
                 "capacity / wide jobs in time as well") {
  settings_.endpoints = 18;
  settings_.sizes = {1, 1, 1.5};
  settings_.speeds = {1, 1.3, 1};
  settings_.tail = 0;
  kinds_ = UnevenLoad(6500);
  RunLoad(0.9);
  for (std::size_t kind = 0; kind < results_.size(); ++kind) {
    INFO("kind " << kind);
    CHECK(InTimeShare(kind) >= 0.9);
    CHECK(Share(results_[kind].wide_in_time, results_[kind].wide_jobs) >= 0.85);
  }
}

}  // namespace
}  // namespace almond
