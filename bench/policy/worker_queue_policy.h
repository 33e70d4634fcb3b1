#ifndef ALMOND_BENCH_POLICY_WORKER_QUEUE_POLICY_H_
#define ALMOND_BENCH_POLICY_WORKER_QUEUE_POLICY_H_

#include <vector>

#include "bench/policy/run_result.h"
#include "bench/policy/workload.h"

namespace almond::bench {

/// Size and message delay of the simulated system.
struct system_settings {
  std::uint32_t entries = 3;
  std::uint32_t agents = 11;
  std::uint32_t slots_per_agent = 8;
  duration one_way = std::chrono::microseconds(1500);
};

/// Baseline policies with early binding: the entry chooses a worker on arrival,
/// and the task waits in that worker's queue.
enum class worker_choice {
  random,       ///< a random worker
  power_of_two  ///< the shorter queue of two random workers
};

/// Runs a workload under a baseline policy.
run_result RunWorkerQueues(worker_choice choice, const system_settings& system,
                           const workload_settings& workload);

}  // namespace almond::bench

#endif  // ALMOND_BENCH_POLICY_WORKER_QUEUE_POLICY_H_
