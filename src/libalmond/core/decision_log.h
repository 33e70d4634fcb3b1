#ifndef ALMOND_CORE_DECISION_LOG_H_
#define ALMOND_CORE_DECISION_LOG_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "libalmond/core/clock.h"

namespace almond {

/// Structured log of decisions about requests and of changes of the process's
/// state, one JSON object per line.
class decision_log {
 public:
  /// Takes one line, without line end.
  using sink = std::function<void(const std::string&)>;

  /// @param clock source of time; outlives the log
  /// @param process name of this process
  /// @param write receives the lines
  decision_log(const clock_interface& clock, std::string process, sink write);

  /// Writes one line.
  /// @param event name of the decision or event
  /// @param fields inputs and outcome of the decision
  void Write(const char* event, const nlohmann::json& fields);

 private:
  const clock_interface& clock_;
  std::string process_;
  sink write_;
};

}  // namespace almond

#endif  // ALMOND_CORE_DECISION_LOG_H_
