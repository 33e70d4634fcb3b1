#ifndef ALMOND_BENCH_POLICY_RETRY_FIGURE_H_
#define ALMOND_BENCH_POLICY_RETRY_FIGURE_H_

#include <cstdint>

namespace almond::bench {

/// Prints what retries do during and after a partial slowdown.
/// @param seed of the run times and failures
void PrintRetries(std::uint64_t seed);

}  // namespace almond::bench

#endif  // ALMOND_BENCH_POLICY_RETRY_FIGURE_H_
