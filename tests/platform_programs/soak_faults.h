#ifndef ALMOND_TESTS_PLATFORM_PROGRAMS_SOAK_FAULTS_H_
#define ALMOND_TESTS_PLATFORM_PROGRAMS_SOAK_FAULTS_H_

#include <random>
#include <vector>

#include "platform_programs/soak_system.h"

namespace almond {

/// Disturbs the machines of a soak at random: processes that are stopped,
/// killed, terminated or told to reload, logs that nobody reads, and disks that
/// fail syncs. Faults of different kinds and machines overlap.
class soak_faults {
 public:
  /// @param system outlives the faults
  soak_faults(std::mt19937_64& random, soak_system& system)
      : random_(random), system_(system) {}

  /// Begins faults at random intervals for a while; they end later.
  void RunFor(milliseconds time);
  /// Ends all faults that are still in force.
  void EndAll();

 private:
  void Begin();
  void BeginAt(soak_machine& machine, int kind, milliseconds time);
  /// Calls a hook after a time, or in EndAll if that is earlier.
  void EndAfter(milliseconds time, std::function<void()> end);

  std::mt19937_64& random_;
  soak_system& system_;
  std::vector<std::shared_ptr<std::function<void()>>> ends_;
};

}  // namespace almond

#endif  // ALMOND_TESTS_PLATFORM_PROGRAMS_SOAK_FAULTS_H_
