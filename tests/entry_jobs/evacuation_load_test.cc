#include <catch2/catch.hpp>

#include "entry_jobs/load_simulation.h"

namespace almond {
namespace {

/// Simulates three data centres, of which the first is evacuated and taken
/// back. Six entries and twelve endpoints of 64 cores.
class evacuation_load_fixture {
 protected:
  static constexpr std::int64_t kTaskCpu = 6200;
  /// Time within which a start that was sent before reaches an agent.
  static constexpr milliseconds kSettleTime{100};

  evacuation_load_fixture() : simulation_(5, Settings(), MixedLoad(kTaskCpu)) {}

  static load_simulation::settings Settings() {
    load_simulation::settings settings;
    settings.entries = 6;
    settings.endpoints = 12;
    settings.data_centres = 3;
    return settings;
  }
  static evacuation_list Evacuated() {
    return {evacuation_revision(1), {data_centre_id("d0")}};
  }
  static evacuation_list TakenBack() { return {evacuation_revision(2), {}}; }

  /// @returns number of starts in the evacuated data centre during the load
  std::uint64_t StartsDuring(double load) {
    simulation_.RunLoad(kSettleTime, load);
    const std::uint64_t before = simulation_.StartedIn(0);
    simulation_.ResetResults();
    simulation_.RunLoad(std::chrono::seconds(5), load);
    const std::uint64_t started = simulation_.StartedIn(0) - before;
    simulation_.RunIdle(std::chrono::seconds(4));
    return started;
  }
  double InTimeShare() const {
    double share = 1;
    for (const load_simulation::result& kind : simulation_.Results()) {
      share = std::min(share, static_cast<double>(kind.in_time) /
                                  static_cast<double>(kind.jobs));
    }
    return share;
  }
  /// @returns the largest share of a kind that is neither completed within
  ///   three times the objective nor refused as not run
  double UnresolvedShare() const {
    double share = 0;
    for (const load_simulation::result& kind : simulation_.Results()) {
      const std::size_t resolved = kind.in_time + kind.late + kind.refused;
      share = std::max(share, 1 - static_cast<double>(resolved) /
                                      static_cast<double>(kind.jobs));
    }
    return share;
  }

  load_simulation simulation_;
};

// 55% of the whole capacity is 83% of what two of three data centres have.
TEST_CASE_METHOD(evacuation_load_fixture,
                 "evacuation / enough room elsewhere / no start there, nearly "
                 "all jobs in time, used again after the withdrawal") {
  simulation_.RunLoad(std::chrono::seconds(2), 0.55);
  simulation_.SetEvacuationsAtAgents(Evacuated());
  simulation_.SetEvacuationsAtEntries(Evacuated());
  CHECK(StartsDuring(0.55) == 0);
  CHECK(InTimeShare() >= 0.85);
  simulation_.SetEvacuationsAtAgents(TakenBack());
  simulation_.SetEvacuationsAtEntries(TakenBack());
  CHECK(StartsDuring(0.55) > 0);
  CHECK(InTimeShare() >= 0.85);
}

// 90% of the whole capacity is 135% of what is left.
TEST_CASE_METHOD(evacuation_load_fixture,
                 "evacuation / less room left than work / no start there, the "
                 "excess refused") {
  simulation_.RunLoad(std::chrono::seconds(2), 0.9);
  simulation_.SetEvacuationsAtAgents(Evacuated());
  simulation_.SetEvacuationsAtEntries(Evacuated());
  CHECK(StartsDuring(0.9) == 0);
  CHECK(UnresolvedShare() <= 0.2);
}

// Entries that are cut off from the control processes through the order and its
// withdrawal learn the state from the agents.
TEST_CASE_METHOD(evacuation_load_fixture,
                 "evacuation / two entries cut off / no start there, jobs in "
                 "time, used again after the withdrawal") {
  simulation_.RunLoad(std::chrono::seconds(2), 0.55);
  simulation_.SetEvacuationsAtAgents(Evacuated());
  simulation_.SetEvacuationsAtEntries(Evacuated(), 2);
  CHECK(StartsDuring(0.55) == 0);
  CHECK(InTimeShare() >= 0.85);
  simulation_.SetEvacuationsAtAgents(TakenBack());
  simulation_.SetEvacuationsAtEntries(TakenBack(), 2);
  CHECK(StartsDuring(0.55) > 0);
}

TEST_CASE_METHOD(
    evacuation_load_fixture,
    "evacuation / agents there cut off / entries place elsewhere") {
  simulation_.RunLoad(std::chrono::seconds(2), 0.55);
  simulation_.SetEvacuationsAtEntries(Evacuated());
  CHECK(StartsDuring(0.55) == 0);
  CHECK(InTimeShare() >= 0.85);
}

}  // namespace
}  // namespace almond
