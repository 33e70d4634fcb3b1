#include "libalmond/core/log_output.h"

#include <limits.h>

#include <algorithm>
#include <utility>

namespace almond {

log_output::log_output(const clock_interface& clock, hooks callbacks)
    : clock_(clock), hooks_(std::move(callbacks)) {}

void log_output::Write(std::string_view line) {
  if (IsOverRate()) {
    Drop();
    return;
  }
  if (unreported_ > 0) Flush();
  if (buffer_.size() + line.size() >= kMaxBufferedBytes) {
    Drop();
    return;
  }
  AppendNotice();
  Append(line);
  Flush();
}

bool log_output::IsOverRate() {
  const steady_time now = clock_.SteadyNow();
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    lines_in_window_ = 0;
  }
  return ++lines_in_window_ > kMaxLinesPerSecond;
}

void log_output::Drop() {
  ++dropped_;
  ++unreported_;
}

void log_output::AppendNotice() {
  const std::uint64_t count = std::exchange(unreported_, 0);
  if (count > 0) Append(hooks_.dropped_notice(count));
}

void log_output::Append(std::string_view line) {
  buffer_ += line;
  buffer_ += '\n';
}

void log_output::Flush() {
  for (;;) {
    if (buffer_.empty()) AppendNotice();
    if (buffer_.empty()) return;
    const std::string_view waiting = buffer_;
    const auto taken = hooks_.write(waiting.substr(0, ChunkSize()));
    if (!taken) DropTornLine();
    if (!taken || *taken == 0) return;
    torn_ = buffer_[*taken - 1] != '\n';
    buffer_.erase(0, *taken);
  }
}

std::size_t log_output::ChunkSize() const {
  // A pipe takes this many bytes as a whole, so that lines of several programs
  // on one pipe do not mix.
  constexpr std::size_t kWholeBytes = PIPE_BUF;
  if (buffer_.size() <= kWholeBytes) return buffer_.size();
  const std::size_t last_end = buffer_.rfind('\n', kWholeBytes - 1);
  if (last_end != std::string::npos) return last_end + 1;
  return buffer_.find('\n') + 1;
}

void log_output::DropTornLine() {
  if (!std::exchange(torn_, false)) return;
  buffer_.erase(0, buffer_.find('\n') + 1);
  Drop();
}

}  // namespace almond
