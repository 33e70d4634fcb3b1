#ifndef ALMOND_CORE_LOG_OUTPUT_H_
#define ALMOND_CORE_LOG_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "libalmond/core/clock.h"

namespace almond {

/// The one output of all log lines of a process. Never blocks: lines that the
/// reader does not take are buffered up to a limit. Further lines are dropped
/// as a whole and counted, and a line with their number takes their place.
class log_output {
 public:
  /// Buffered bytes above which new lines are dropped.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{64} << 10U;
  /// Lines per second above which further lines are dropped.
  static constexpr std::uint32_t kMaxLinesPerSecond = 2000;

  /// Hooks to the outside.
  struct hooks {
    /// Writes bytes without blocking.
    /// @returns the number of bytes taken, 0 if the output is not ready, or
    ///   nothing if there is no reader
    std::function<std::optional<std::size_t>(std::string_view)> write;
    /// @returns the text of the line, without line end, that stands for a
    ///   number of dropped lines
    std::function<std::string(std::uint64_t)> dropped_notice;
  };

  /// @param clock source of time; outlives the output
  log_output(const clock_interface& clock, hooks callbacks);
  ~log_output() { Flush(); }
  log_output(const log_output&) = delete;
  log_output& operator=(const log_output&) = delete;

  /// Writes, buffers or drops a line.
  /// @param line text without line end
  void Write(std::string_view line);
  /// Writes as much of the buffer as the output takes.
  void Flush();
  /// @returns the number of lines dropped since the start
  std::uint64_t Dropped() const { return dropped_; }

 private:
  bool IsOverRate();
  void Drop();
  /// Appends the line for the dropped lines, if there are any.
  void AppendNotice();
  void Append(std::string_view line);
  /// @returns the number of bytes for the next write, up to the end of a line
  std::size_t ChunkSize() const;
  void DropTornLine();

  const clock_interface& clock_;
  hooks hooks_;
  std::string buffer_;
  /// The buffer begins within a line, of which the reader has the rest.
  bool torn_ = false;
  std::uint64_t dropped_ = 0;
  std::uint64_t unreported_ = 0;
  steady_time window_start_;
  std::uint32_t lines_in_window_ = 0;
};

}  // namespace almond

#endif  // ALMOND_CORE_LOG_OUTPUT_H_
