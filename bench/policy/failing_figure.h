#ifndef ALMOND_BENCH_POLICY_FAILING_FIGURE_H_
#define ALMOND_BENCH_POLICY_FAILING_FIGURE_H_

#include <cstdint>

namespace almond::bench {

/// Prints how many tasks are sent to endpoints that fail all tasks.
/// @param seed of the arrivals
void PrintFailing(std::uint64_t seed);

}  // namespace almond::bench

#endif  // ALMOND_BENCH_POLICY_FAILING_FIGURE_H_
