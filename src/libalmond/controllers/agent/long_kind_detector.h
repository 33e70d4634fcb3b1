#ifndef ALMOND_CONTROLLERS_AGENT_LONG_KIND_DETECTOR_H_
#define ALMOND_CONTROLLERS_AGENT_LONG_KIND_DETECTOR_H_

#include <cstdint>
#include <unordered_map>

#include "libalmond/core/identifiers.h"

namespace almond {

/// Learns from observed run times which kinds of requests run long. Declared
/// run times are often wrong and are not used.
class long_kind_detector {
 public:
  /// Maximum number of tracked kinds; further ones count as short.
  static constexpr std::size_t kMaxKinds = 1024;
  /// Number of tasks of a kind after which its counts are halved, so that
  /// recent tasks weigh more.
  static constexpr std::uint32_t kWindow = 64;
  /// Minimum number of long tasks for a kind to count as long.
  static constexpr std::uint32_t kMinLongRuns = 2;

  void Observe(const request_kind& kind, bool was_long) {
    if (counts_.size() >= kMaxKinds && counts_.count(kind) == 0) return;
    run_counts& seen = counts_[kind];
    ++seen.all;
    if (was_long) ++seen.long_runs;
    if (seen.all < kWindow) return;
    seen.all /= 2;
    seen.long_runs /= 2;
  }

  /// @returns true if at least kMinLongRuns and at least half of the kind's
  ///   counted tasks were long
  bool IsLong(const request_kind& kind) const {
    const auto found = counts_.find(kind);
    return found != counts_.end() && found->second.long_runs >= kMinLongRuns &&
           2 * found->second.long_runs >= found->second.all;
  }

 private:
  struct run_counts {
    std::uint32_t all = 0;
    std::uint32_t long_runs = 0;
  };
  std::unordered_map<request_kind, run_counts> counts_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_LONG_KIND_DETECTOR_H_
