#ifndef ALMOND_BENCH_POLICY_TEAMS_FIGURE_H_
#define ALMOND_BENCH_POLICY_TEAMS_FIGURE_H_

#include <cstdint>

namespace almond::bench {

/// Prints goodput and wait times of teams that share a service.
/// @param seed of the arrivals
void PrintTeams(std::uint64_t seed);

}  // namespace almond::bench

#endif  // ALMOND_BENCH_POLICY_TEAMS_FIGURE_H_
