#include "libalmond/core/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace almond {

decision_log::decision_log(const clock_interface& clock,
                           metrics_registry& metrics, std::string process,
                           sink write)
    : clock_(clock),
      dropped_(metrics.Counter("almond_log_lines_dropped_total")),
      process_(std::move(process)),
      write_(std::move(write)) {}

void decision_log::Write(const char* event, const nlohmann::json& fields) {
  const steady_time now = clock_.SteadyNow();
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    lines_in_window_ = 0;
  }
  if (++lines_in_window_ > kMaxLinesPerSecond ||
      buffer_.size() > kMaxBufferedBytes) {
    dropped_.Add();
    return;
  }
  nlohmann::json line = fields;
  line["event"] = event;
  line["process"] = process_;
  line["wall_ms"] = std::chrono::duration_cast<milliseconds>(
                        clock_.WallNow().time_since_epoch())
                        .count();
  // Names come from callers, so they need not be valid UTF-8.
  buffer_ +=
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  buffer_ += '\n';
  Flush();
}

void decision_log::Flush() {
  if (buffer_.empty()) return;
  buffer_.erase(0, write_(buffer_.data(), buffer_.size()));
}

decision_log::sink decision_log::MakeDescriptorSink(int descriptor) {
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
  return [descriptor](const char* bytes, std::size_t size) {
    const ssize_t written = write(descriptor, bytes, size);
    return written < 0 ? std::size_t{0} : static_cast<std::size_t>(written);
  };
}

}  // namespace almond
