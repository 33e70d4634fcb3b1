#include <array>
#include <catch2/catch.hpp>

#include "entry_jobs/load_simulation.h"

namespace almond {
namespace {

/// Three kinds of jobs, each a third of the service's value: short and wide,
/// long, and narrow ones.
class crest_fixture {
 protected:
  static load_kind Kind(const char* name, double share, std::uint32_t width,
                        milliseconds work, std::uint32_t priority) {
    load_kind kind;
    kind.rule.name = std::string(name);
    kind.rule.service = service_id("s");
    kind.rule.max_attempts = 3;
    kind.rule.stretch = 1.6;
    kind.rule.slack = milliseconds(60);
    kind.rule.priority = priority;
    kind.share = share;
    kind.width = width;
    kind.work = work;
    kind.cpu_milli = 6200;
    return kind;
  }

  /// Plays the load several times; the results are the sums.
  void Play(double load) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) PlayOnce(load, seed);
  }
  void PlayOnce(double load, std::uint64_t seed) {
    load_simulation simulation(
        seed, {},
        {Kind("short", 0.245, 8, milliseconds(51), 0),
         Kind("long", 0.044, 4, milliseconds(760), 2),
         Kind("narrow", 0.711, 2, milliseconds(170), 1)});
    simulation.Play(std::chrono::seconds(2), 0.7);
    simulation.Forget();
    simulation.Play(std::chrono::seconds(8), load);
    simulation.Rest(std::chrono::seconds(4));
    for (std::size_t kind = 0; kind < results_.size(); ++kind) {
      const load_simulation::result& added = simulation.Results()[kind];
      results_[kind].jobs += added.jobs;
      results_[kind].in_time += added.in_time;
      results_[kind].late += added.late;
      results_[kind].refused += added.refused;
    }
  }
  double InTime(std::size_t kind) const {
    return Share(results_[kind].in_time, results_[kind].jobs);
  }
  /// Share of the jobs that are neither done in a useful time nor told that
  /// they have not run.
  double Held(std::size_t kind) const {
    const load_simulation::result& counted = results_[kind];
    return 1 - Share(counted.in_time + counted.late + counted.refused,
                     counted.jobs);
  }
  static double Share(std::size_t part, std::size_t whole) {
    return static_cast<double>(part) / static_cast<double>(whole);
  }

  std::array<load_simulation::result, 3> results_;
};

// The load: a crest with a tenth less work than room.
TEST_CASE_METHOD(crest_fixture,
                 "crest / less work than room / nearly all in time") {
  Play(0.9);
  for (std::size_t kind = 0; kind < results_.size(); ++kind) {
    INFO("kind " << kind);
    CHECK(InTime(kind) >= 0.9);
  }
}

// The load: for 8 s, a quarter more work than room, so that a fifth of it
// cannot be served. That fifth is refused while its callers can act, and
// neither the wide jobs nor the long ones bear all of it.
TEST_CASE_METHOD(crest_fixture,
                 "crest / a quarter more work than room / most in time, the "
                 "rest told") {
  Play(1.25);
  CHECK(InTime(0) >= 0.7);
  CHECK(InTime(1) >= 0.4);
  CHECK(InTime(2) >= 0.5);
  for (std::size_t kind = 0; kind < results_.size(); ++kind) {
    INFO("kind " << kind);
    CHECK(Held(kind) <= 0.15);
  }
}

}  // namespace
}  // namespace almond
