#ifndef ALMOND_BENCH_POLICY_RETRY_FIGURE_H_
#define ALMOND_BENCH_POLICY_RETRY_FIGURE_H_

#include <cstdint>

namespace almond::bench {

/// Prints the effect of retry policies during and after a fault of endpoints.
/// @param seed of the run times and failures
void PrintRetries(std::uint64_t seed);

}  // namespace almond::bench

#endif  // ALMOND_BENCH_POLICY_RETRY_FIGURE_H_
