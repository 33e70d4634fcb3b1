#include <catch2/catch.hpp>
#include <iomanip>
#include <iostream>
#include <set>

#include "entry_jobs/load_simulation.h"
#include "libalmond/controllers/agent/entry_subset.h"

namespace almond {
namespace {

/// Simulates 60 entries and 240 endpoints in five data centres, where most
/// callers are in one of them.
class subset_load_fixture {
 protected:
  static constexpr std::size_t kEntries = 60;
  static constexpr std::size_t kAgents = 240;
  static constexpr std::size_t kDataCentres = 5;
  static constexpr std::int64_t kTaskCpu = 3800;
  using link_set = std::set<std::pair<std::size_t, std::size_t>>;

  static entry_address Entry(std::size_t number) {
    return {entry_id("e" + std::to_string(number)), incarnation_id(1),
            DataCentre(number), "10.0.0.1:" + std::to_string(number + 1)};
  }
  static data_centre_id DataCentre(std::size_t node) {
    return data_centre_id("d" + std::to_string(node % kDataCentres));
  }
  /// @param usable decides which entries an agent may choose
  /// @param alike number of agents that is reported to them
  static link_set ChooseLinks(
      std::size_t alike,
      const std::function<bool(std::size_t entry, std::size_t agent)>& usable) {
    const manual_clock clock;
    link_set links;
    for (std::size_t agent = 0; agent < kAgents; ++agent) {
      entry_subset subset(clock, agent_id("a" + std::to_string(agent)),
                          DataCentre(agent),
                          {[](const entry_address&) { return false; }});
      std::vector<entry_address> entries;
      for (std::size_t entry = 0; entry < kEntries; ++entry) {
        if (usable(entry, agent)) entries.push_back(Entry(entry));
      }
      subset.Update(entries, alike);
      for (std::size_t entry = 0; entry < kEntries; ++entry) {
        for (const entry_address& chosen : subset.Chosen()) {
          if (chosen == Entry(entry)) links.insert({entry, agent});
        }
      }
    }
    return links;
  }
  static link_set Subsets() {
    return ChooseLinks(kAgents, [](std::size_t, std::size_t) { return true; });
  }

  /// Simulates 4 s of load.
  void Run(double load, std::vector<double> callers,
           std::function<bool(std::size_t, std::size_t)> linked) {
    load_simulation::settings chosen;
    chosen.entries = kEntries;
    chosen.endpoints = kAgents;
    chosen.endpoint_cpu_milli = 16000;
    chosen.data_centres = kDataCentres;
    chosen.callers = std::move(callers);
    chosen.linked = std::move(linked);
    load_simulation simulation(1, chosen, MixedLoad(kTaskCpu));
    simulation.RunLoad(std::chrono::seconds(1), load);
    simulation.ResetResults();
    simulation.RunLoad(std::chrono::seconds(4), load);
    simulation.RunIdle(std::chrono::seconds(3));
    results_ = simulation.Results();
    messages_per_start_ = simulation.MessagesPerStart();
    refused_starts_ = simulation.RefusedStarts();
  }
  void Run(double load, std::vector<double> callers, const link_set& links) {
    Run(load, std::move(callers),
        [&links](std::size_t entry, std::size_t agent) {
          return links.contains({entry, agent});
        });
  }
  double InTimeShare(std::size_t kind) const {
    return static_cast<double>(results_[kind].in_time) /
           static_cast<double>(results_[kind].jobs);
  }

  const std::vector<double> even_ = {1, 1, 1, 1, 1};
  /// Two fifths of the callers are in the first data centre.
  const std::vector<double> uneven_ = {8, 3, 3, 3, 3};
  std::vector<load_simulation::result> results_;
  double messages_per_start_ = 0;
  double refused_starts_ = 0;
};

// Prints a table for docs/measurements-platform.md.
TEST_CASE_METHOD(subset_load_fixture,
                 "subset load / ways to choose links / compared",
                 "[.figures]") {
  const auto all = [](std::size_t, std::size_t) { return true; };
  const auto local = [](std::size_t entry, std::size_t agent) {
    return entry % kDataCentres == agent % kDataCentres;
  };
  const auto degree = [](std::size_t agents) {
    return agents * kAgents / entry_subset::kAgentsPerEntry;
  };
  const std::vector<std::pair<const char*, link_set>> ways = {
      {"half in the data centre, 32 agents an entry", Subsets()},
      {"the same, 16", ChooseLinks(degree(64), all)},
      {"the same, 64", ChooseLinks(degree(16), all)},
      {"only in the data centre, 32", ChooseLinks(kAgents / 5, local)},
      {"only in the data centre, 48 (all)", ChooseLinks(1, local)},
  };
  for (const double load : {0.55, 0.8, 0.95}) {
    for (const auto& callers : {even_, uneven_}) {
      std::cout << "load " << load << (callers == even_ ? " even" : " uneven")
                << "\n";
      const auto print = [this](const char* name) {
        std::cout << std::fixed << std::setprecision(3) << "| " << name << " | "
                  << InTimeShare(0) << " | " << InTimeShare(1) << " | "
                  << InTimeShare(2) << " | " << refused_starts_ << " | "
                  << messages_per_start_ << " |\n"
                  << std::flush;
      };
      for (const auto& [name, links] : ways) {
        Run(load, callers, links);
        print(name);
      }
      Run(load, callers, all);
      print("all");
    }
  }
}

// Guards against callers of a busy data centre that are refused while others
// have free resources, and against messages that grow with the number of
// entries: 18 machines need about 14 for each task.
TEST_CASE_METHOD(subset_load_fixture,
                 "subset load / most callers in one data centre / served by "
                 "all of them with few messages") {
  const link_set links = Subsets();
  Run(0.8, uneven_, links);
  for (std::size_t kind = 0; kind < results_.size(); ++kind) {
    INFO("kind " << kind);
    CHECK(InTimeShare(kind) >= 0.9);
  }
  CHECK(messages_per_start_ <= 28);
}

}  // namespace
}  // namespace almond
