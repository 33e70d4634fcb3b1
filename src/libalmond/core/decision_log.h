#ifndef ALMOND_CORE_DECISION_LOG_H_
#define ALMOND_CORE_DECISION_LOG_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "libalmond/core/clock.h"
#include "libalmond/core/metrics.h"

namespace almond {

/// Structured lines, one JSON object each, for decisions that touch a request
/// or change what the process believes. Never blocks: lines that the output
/// does not take are kept up to a limit and are then dropped and counted.
class decision_log {
 public:
  /// Unwritten bytes above which lines are dropped.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{64} << 10U;
  /// Lines in one second above which lines are dropped.
  static constexpr std::uint32_t kMaxLinesPerSecond = 2000;

  /// Writes bytes without blocking.
  /// @returns number of bytes taken, 0 if none can be taken now
  using sink = std::function<std::size_t(const char*, std::size_t)>;

  /// @param clock source of time; outlives the log
  /// @param metrics receives almond_log_lines_dropped_total; outlives the log
  decision_log(const clock_interface& clock, metrics_registry& metrics,
               std::string process, sink write);

  /// Writes one line.
  /// @param event what was decided or has happened
  /// @param fields inputs and outcome
  void Write(const char* event, const nlohmann::json& fields);
  /// Hands buffered bytes to the sink.
  void Flush();

  /// @returns a sink that writes to a descriptor, which it makes non-blocking
  static sink MakeDescriptorSink(int descriptor);

 private:
  const clock_interface& clock_;
  counter& dropped_;
  std::string process_;
  sink write_;
  std::string buffer_;
  steady_time second_;
  std::uint32_t lines_ = 0;
};

}  // namespace almond

#endif  // ALMOND_CORE_DECISION_LOG_H_
