#ifndef ALMOND_BENCH_CAPACITY_FIGURES_H_
#define ALMOND_BENCH_CAPACITY_FIGURES_H_

#include <cstddef>

namespace almond::bench {

/// Queued tasks in an entry: memory, and time to push and pop.
void PrintQueue(std::size_t repeats);
/// Cost of a task in an entry's dispatch controller and codec.
void PrintDispatch(std::size_t repeats);
/// Cost of a connected agent in an entry.
void PrintEntryLinks(std::size_t repeats);
/// Cost of a start in an agent's controller and codec.
void PrintAgent(std::size_t repeats);
/// Cost of a connected entry in an agent.
void PrintAgentLinks(std::size_t repeats);
/// Memory of task names and answers in an agent's start table.
void PrintStartTable(std::size_t repeats);
/// Cost of claims, finishes and snapshots of the job ledger.
void PrintLedger(std::size_t repeats);
/// Cost of heartbeats at the control leader.
void PrintHeartbeats(std::size_t repeats);
/// Cost of checking, merging and fetching a configuration.
void PrintConfig(std::size_t repeats);
/// Frame size of each message in bytes.
void PrintFrames(std::size_t repeats);

}  // namespace almond::bench

#endif  // ALMOND_BENCH_CAPACITY_FIGURES_H_
