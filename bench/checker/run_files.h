#ifndef ALMOND_BENCH_CHECKER_RUN_FILES_H_
#define ALMOND_BENCH_CHECKER_RUN_FILES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace almond {

/// A task start logged by an endpoint.
struct logged_start {
  std::int64_t epoch_ms = 0;
  std::string submission;
  std::string task;
  std::string body;
};

/// An action of the fault script.
struct fault_event {
  std::int64_t epoch_ms = 0;
  std::string label;          ///< for example "kill" or "accepted"
  std::uint64_t version = 0;  ///< of an accepted configuration
};

/// Reads start logs in the format of almond-bench-endpoint. Incomplete lines,
/// which a killed process may leave, are skipped.
/// @param files start logs; a missing file is treated as empty
std::vector<logged_start> ReadStartLogs(const std::vector<std::string>& files);

/// @param file lines "epoch_ms label [version]"; a missing file is treated as
///   empty
std::vector<fault_event> ReadEvents(const std::string& file);

}  // namespace almond

#endif  // ALMOND_BENCH_CHECKER_RUN_FILES_H_
