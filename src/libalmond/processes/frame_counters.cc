#include "libalmond/processes/frame_counters.h"

#include <utility>

#include "libalmond/wire/frame_names.h"

namespace almond {

frame_counters::frame_counters(metrics_registry& metrics, std::string direction)
    : metrics_(metrics), direction_(std::move(direction)) {}

void frame_counters::Add(const frame& counted) {
  auto known = types_.find(counted.type);
  if (known == types_.end()) {
    const std::string labels = "direction=\"" + direction_ + "\",type=\"" +
                               FrameName(counted.type) + "\"";
    const type_counters added{
        &metrics_.Counter("almond_link_frames_total", labels),
        &metrics_.Counter("almond_link_bytes_total", labels)};
    known = types_.emplace(counted.type, added).first;
  }
  known->second.frames->Add();
  known->second.bytes->Add(counted.payload.size());
}

}  // namespace almond
