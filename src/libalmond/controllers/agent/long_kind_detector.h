#ifndef ALMOND_CONTROLLERS_AGENT_LONG_KIND_DETECTOR_H_
#define ALMOND_CONTROLLERS_AGENT_LONG_KIND_DETECTOR_H_

#include <cstdint>
#include <unordered_map>

#include "libalmond/core/identifiers.h"

namespace almond {

/// Learns from observed run times which kinds of request are long; declared
/// run times are often wrong and are not looked at.
class long_kind_detector {
 public:
  /// Kinds that are remembered; further ones count as short.
  static constexpr std::size_t kMaxKinds = 1024;
  /// Tasks after which the counts are halved, so that old ones lose weight.
  static constexpr std::uint32_t kWindow = 64;
  /// Long tasks of a kind before it can count as long.
  static constexpr std::uint32_t kMinLong = 2;

  void Observe(const request_kind& kind, bool was_long) {
    if (counts_.size() >= kMaxKinds && counts_.count(kind) == 0) return;
    tally& seen = counts_[kind];
    ++seen.all;
    if (was_long) ++seen.lengthy;
    if (seen.all < kWindow) return;
    seen.all /= 2;
    seen.lengthy /= 2;
  }

  /// @returns true if at least half of the kind's recent tasks were long
  bool Long(const request_kind& kind) const {
    const auto found = counts_.find(kind);
    return found != counts_.end() && found->second.lengthy >= kMinLong &&
           2 * found->second.lengthy >= found->second.all;
  }

 private:
  struct tally {
    std::uint32_t all = 0;
    std::uint32_t lengthy = 0;
  };
  std::unordered_map<request_kind, tally> counts_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_LONG_KIND_DETECTOR_H_
