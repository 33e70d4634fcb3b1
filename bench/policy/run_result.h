#ifndef ALMOND_BENCH_POLICY_RUN_RESULT_H_
#define ALMOND_BENCH_POLICY_RUN_RESULT_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"

namespace almond::bench {

/// Result of one policy on one workload.
struct run_result {
  std::string policy;
  std::uint64_t offered = 0;
  std::uint64_t completed = 0;
  /// Tasks that were not run: refused, or dropped from a queue.
  std::uint64_t refused = 0;
  std::uint64_t late = 0;      ///< ended after the deadline, or not at all
  std::uint64_t messages = 0;  ///< between entries and agents
  /// Number of messages between entries and agents, by type.
  std::map<std::string, std::uint64_t> by_type;
  /// Messages that started no task: for probes, refused or expired starts, and
  /// returned or recalled grants.
  std::uint64_t wasted = 0;
  std::vector<double> short_wait;     ///< seconds from arrival to start
  std::vector<double> long_response;  ///< seconds from arrival to end
  std::vector<double> ratio;          ///< response over run time
  std::vector<double> refusal_delay;  ///< seconds from arrival to refusal
  /// Tasks completed before their deadline, for each second of the run.
  std::vector<std::uint64_t> goodput;
  /// Waits in seconds, for the tasks that arrived in each second of the run.
  std::vector<std::vector<double>> wait_by_second;
};

/// @param values in any order
/// @param share quantile from 0 to 1
/// @returns the quantile, or 0 if there are no values
inline double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  const auto position = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + position, values.end());
  return values[static_cast<std::size_t>(position)];
}

}  // namespace almond::bench

#endif  // ALMOND_BENCH_POLICY_RUN_RESULT_H_
