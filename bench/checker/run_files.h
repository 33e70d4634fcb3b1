#ifndef ALMOND_BENCH_CHECKER_RUN_FILES_H_
#define ALMOND_BENCH_CHECKER_RUN_FILES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace almond {

/// A start that an endpoint logged.
struct logged_start {
  std::int64_t epoch_ms = 0;
  std::string submission;
  std::string task;
  std::string body;
};

/// Something that the fault script did.
struct fault_event {
  std::int64_t epoch_ms = 0;
  std::string label;          ///< for example "kill" or "accepted"
  std::uint64_t version = 0;  ///< of an accepted configuration
};

/// Reads start logs as almond-bench-endpoint writes them. A line that a killed
/// process left unfinished is passed over.
/// @param files start logs; a missing file counts as empty
std::vector<logged_start> ReadStartLogs(const std::vector<std::string>& files);

/// @param file lines "epoch_ms label [version]"; a missing file counts as empty
std::vector<fault_event> ReadEvents(const std::string& file);

}  // namespace almond

#endif  // ALMOND_BENCH_CHECKER_RUN_FILES_H_
