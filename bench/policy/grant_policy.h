#ifndef ALMOND_BENCH_POLICY_GRANT_POLICY_H_
#define ALMOND_BENCH_POLICY_GRANT_POLICY_H_

#include <optional>

#include "bench/policy/run_result.h"
#include "bench/policy/worker_queue_policy.h"
#include "bench/policy/workload.h"

namespace almond::bench {

/// Options of almondproxy's scheduling that the benchmark varies.
struct grant_options {
  /// Run time after which tasks may be suspended; suspension is disabled if
  /// empty.
  std::optional<milliseconds> suspend_after;
  bool admission = true;  ///< admission control by the measured service rate
};

/// Runs a workload through the entry's and the agent's controllers, with late
/// binding by slot grants.
run_result RunGrants(const grant_options& options,
                     const system_settings& system,
                     const workload_settings& workload);

}  // namespace almond::bench

#endif  // ALMOND_BENCH_POLICY_GRANT_POLICY_H_
