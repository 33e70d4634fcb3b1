#ifndef ALMOND_CORE_DECISION_LOG_H_
#define ALMOND_CORE_DECISION_LOG_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "libalmond/core/clock.h"
#include "libalmond/core/metrics.h"

namespace almond {

/// Structured log of decisions about requests and of changes of the process's
/// state, one JSON object per line. Never blocks: lines that the output does
/// not accept are buffered up to a limit; further lines are dropped and
/// counted.
class decision_log {
 public:
  /// Buffered bytes above which new lines are dropped.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{64} << 10U;
  /// Lines per second above which further lines are dropped.
  static constexpr std::uint32_t kMaxLinesPerSecond = 2000;

  /// Writes bytes without blocking.
  /// @returns number of bytes accepted, 0 if the output is not ready
  using sink = std::function<std::size_t(const char*, std::size_t)>;

  /// @param clock source of time; outlives the log
  /// @param metrics receives almond_log_lines_dropped_total; outlives the log
  decision_log(const clock_interface& clock, metrics_registry& metrics,
               std::string process, sink write);

  /// Writes one line.
  /// @param event name of the decision or event
  /// @param fields inputs and outcome of the decision
  void Write(const char* event, const nlohmann::json& fields);
  /// Writes buffered bytes to the sink.
  void Flush();

  /// @returns a sink that writes to the descriptor, which is made non-blocking
  static sink MakeDescriptorSink(int descriptor);

 private:
  const clock_interface& clock_;
  counter& dropped_;
  std::string process_;
  sink write_;
  std::string buffer_;
  steady_time window_start_;
  std::uint32_t lines_in_window_ = 0;
};

}  // namespace almond

#endif  // ALMOND_CORE_DECISION_LOG_H_
