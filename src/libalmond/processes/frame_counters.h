#ifndef ALMOND_PROCESSES_FRAME_COUNTERS_H_
#define ALMOND_PROCESSES_FRAME_COUNTERS_H_

#include <cstdint>
#include <map>
#include <string>

#include "libalmond/core/frame.h"
#include "libalmond/core/metrics.h"

namespace almond {

/// Counts the frames between entries and agents and their payload bytes, by
/// direction and frame type. Pings are not counted.
class frame_counters {
 public:
  /// @param metrics receives almond_link_frames_total and
  ///   almond_link_bytes_total; outlives the counters
  /// @param direction "in" or "out"
  frame_counters(metrics_registry& metrics, std::string direction);
  void Add(const frame& counted);

 private:
  struct type_counters {
    counter* frames;
    counter* bytes;
  };

  metrics_registry& metrics_;
  std::string direction_;
  std::map<std::uint8_t, type_counters> types_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_FRAME_COUNTERS_H_
