#include "libalmond/controllers/agent/entry_subset.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace almond {
namespace {

class entry_subset_fixture {
 protected:
  static constexpr std::size_t kDataCentres = 5;

  static data_centre_id DataCentre(std::size_t node) {
    return data_centre_id("d" + std::to_string(node % kDataCentres));
  }
  static entry_address Entry(std::size_t number) {
    return {entry_id("e" + std::to_string(number)), incarnation_id(1),
            DataCentre(number), "10.0.0.1:" + std::to_string(number + 1)};
  }
  static std::vector<entry_address> Entries(std::size_t count) {
    std::vector<entry_address> entries;
    for (std::size_t i = 0; i < count; ++i) entries.push_back(Entry(i));
    return entries;
  }
  entry_subset MakeSubset(std::size_t agent) {
    return {clock_,
            agent_id("a" + std::to_string(agent)),
            DataCentre(agent),
            {[this](const entry_address& entry) {
              return connected_.contains(entry.entry);
            }}};
  }
  /// Updates the subset and connects it to what it chooses.
  void Update(const std::vector<entry_address>& live, std::size_t alike) {
    subset_.Update(live, alike);
    for (const entry_address& entry : subset_.Chosen()) {
      connected_.insert(entry.entry);
    }
  }
  static std::set<entry_id> Ids(const std::vector<entry_address>& entries) {
    std::set<entry_id> ids;
    for (const entry_address& entry : entries) ids.insert(entry.entry);
    return ids;
  }

  manual_clock clock_;
  std::set<entry_id> connected_;
  entry_subset subset_ = MakeSubset(0);
};

// Guards against links that grow with the number of machines, and against
// entries that reach few endpoints.
TEST_CASE_METHOD(entry_subset_fixture,
                 "entry subset / 60 entries and 240 agents / few links, evenly "
                 "spread, half of them in the data centre") {
  std::map<entry_id, std::size_t> agents;
  for (std::size_t i = 0; i < 240; ++i) {
    entry_subset subset = MakeSubset(i);
    subset.Update(Entries(60), 240);
    REQUIRE(subset.Chosen().size() == 8);
    REQUIRE(Ids(subset.Chosen()).size() == 8);
    CHECK(std::count_if(subset.Chosen().begin(), subset.Chosen().end(),
                        [i](const entry_address& entry) {
                          return entry.data_centre == DataCentre(i);
                        }) == 4);
    for (const entry_id& id : Ids(subset.Chosen())) ++agents[id];
  }
  REQUIRE(agents.size() == 60);
  for (const auto& [id, count] : agents) {
    INFO(id);
    CHECK(count >= 16);
    CHECK(count <= 52);
  }
}

// Guards against an entry of a small system, or of a service with few
// endpoints, that does not reach an endpoint with free resources.
TEST_CASE_METHOD(entry_subset_fixture,
                 "entry subset / few agents of a kind / all entries chosen") {
  const std::size_t agents = GENERATE(1, 3, 11, 32);
  subset_.Update(Entries(20), agents);
  CHECK(subset_.Chosen().size() == 20);
}

// Guards against a system whose links cannot be chosen, or which needs entries
// that it has not got.
TEST_CASE_METHOD(entry_subset_fixture,
                 "entry subset / few entries / all of them chosen") {
  const std::size_t entries = GENERATE(0, 1, 2, 4);
  subset_.Update(Entries(entries), GENERATE(0, 1, 4000));
  CHECK(subset_.Chosen().size() == entries);
}

// Guards against agents of a data centre with few entries that have few links.
TEST_CASE_METHOD(entry_subset_fixture,
                 "entry subset / data centre with one entry, or with all of "
                 "them / filled up from the others") {
  const bool all_local = GENERATE(false, true);
  std::vector<entry_address> entries = Entries(60);
  for (entry_address& entry : entries) {
    const bool local = all_local || entry.entry == entry_id("e0");
    entry.data_centre = data_centre_id(local ? "d0" : "d1");
  }
  subset_.Update(entries, 240);
  CHECK(subset_.Chosen().size() == 8);
  if (!all_local) CHECK(Ids(subset_.Chosen()).contains(entry_id("e0")));
}

// Guards against links that are all replaced when one entry comes or goes.
TEST_CASE_METHOD(entry_subset_fixture,
                 "entry subset / an entry goes and returns / no other link "
                 "changes") {
  Update(Entries(60), 240);
  const std::set<entry_id> before = Ids(subset_.Chosen());
  const entry_id gone = *before.begin();
  connected_.erase(gone);
  std::vector<entry_address> live = Entries(60);
  std::erase_if(live, [&](const auto& entry) { return entry.entry == gone; });
  Update(live, 240);
  std::set<entry_id> after = Ids(subset_.Chosen());
  REQUIRE(after.size() == 8);
  CHECK_FALSE(after.contains(gone));
  for (const entry_id& id : before) CHECK((id == gone || after.contains(id)));
  Update(Entries(60), 240);
  CHECK(Ids(subset_.Chosen()) == before);
}

// Guards against agents that all dial the few entries which a new leader has
// heard from, and leave those that serve them.
TEST_CASE_METHOD(entry_subset_fixture,
                 "entry subset / new leader lists few entries / connected ones "
                 "are kept") {
  Update(Entries(60), 240);
  const std::set<entry_id> before = Ids(subset_.Chosen());
  for (std::size_t listed = 0; listed < 60; listed += 7) {
    clock_.Advance(milliseconds(250));
    Update(Entries(listed), 0);
    CHECK(subset_.Chosen().size() <= 8);
    for (const entry_id& id : before) CHECK(connected_.contains(id));
  }
  Update(Entries(60), 240);
  CHECK(Ids(subset_.Chosen()) == before);
}

// Guards against links that are closed during a short change, and against
// surplus links that are never closed.
TEST_CASE_METHOD(entry_subset_fixture,
                 "entry subset / link not chosen any more / retired after the "
                 "delay") {
  Update(Entries(60), 32);
  REQUIRE(connected_.size() == 60);
  Update(Entries(60), 240);
  REQUIRE(subset_.Chosen().size() == 8);
  CHECK(subset_.Retired().empty());
  clock_.Advance(entry_subset::kRetirementDelay - milliseconds(1));
  Update(Entries(60), 240);
  CHECK(subset_.Retired().empty());
  clock_.Advance(milliseconds(1));
  Update(Entries(60), 240);
  CHECK(subset_.Retired().size() == 52);
  for (const entry_id& id : Ids(subset_.Retired())) {
    CHECK_FALSE(Ids(subset_.Chosen()).contains(id));
  }
}

// Guards against an entry that is left out although it is needed again.
TEST_CASE_METHOD(entry_subset_fixture,
                 "entry subset / chosen again before it is closed / no longer "
                 "retired") {
  Update(Entries(60), 32);
  Update(Entries(60), 240);
  clock_.Advance(entry_subset::kRetirementDelay);
  REQUIRE(subset_.Retired().size() == 52);
  Update(Entries(60), 32);
  CHECK(subset_.Retired().empty());
}

}  // namespace
}  // namespace almond
