#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "platform_programs/soak_faults.h"

namespace almond {
namespace {

std::uint64_t EnvironmentNumber(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// ALMOND_SOAK_SEED and ALMOND_SOAK_ROUNDS choose other faults and a longer
/// run.
class soak_fixture {
 protected:
  static constexpr std::size_t kControls = 3;
  static constexpr std::size_t kEntries = 2;
  static constexpr std::chrono::seconds kFaultTime{5};
  /// Time after the last fault from which changes have to be in force in time.
  static constexpr std::chrono::seconds kCalmTime{3};
  static constexpr std::chrono::seconds kStartLimit{20};

  const std::uint64_t seed_ = EnvironmentNumber("ALMOND_SOAK_SEED", 1);
  const std::uint64_t rounds_ = EnvironmentNumber("ALMOND_SOAK_ROUNDS", 4);
  std::mt19937_64 random_{seed_};
  soak_system system_{random_, kControls, kEntries};
  soak_faults faults_{random_, system_};
};

// Guards against changes that are lost, late or taken back, entries that stay
// behind, and processes that end by themselves, around faults that overlap.
TEST_CASE_METHOD(soak_fixture,
                 "soak / random faults beside changes in series / changes hold "
                 "and processes live") {
  REQUIRE(system_.AwaitInForce(kStartLimit));
  for (std::uint64_t round = 0; round < rounds_; ++round) {
    system_.StartChanges();
    faults_.RunFor(kFaultTime);
    faults_.EndAll();
    system_.RunFor(kCalmTime);
    if (!system_.AwaitInForce(soak_system::kInForceLimit)) break;
  }
  std::cout << "soak seed " << seed_ << ": " << system_.Summary() << "\n";
  INFO("seed " << seed_ << ", logs in " << system_.Folder());
  for (const std::string& finding : system_.Findings()) {
    UNSCOPED_INFO(finding);
  }
  CHECK(system_.Findings().empty());
}

}  // namespace
}  // namespace almond
