#ifndef ALMOND_BENCH_CAPACITY_FIGURES_H_
#define ALMOND_BENCH_CAPACITY_FIGURES_H_

#include <cstddef>

namespace almond::bench {

/// Tasks that wait in an entry: memory, and time to queue and take.
void PrintQueue(std::size_t repeats);
/// Tasks through an entry's decisions and codec.
void PrintDispatch(std::size_t repeats);
/// Agents connected to an entry.
void PrintEntryLinks(std::size_t repeats);
/// Starts through an agent's decisions and codec.
void PrintAgent(std::size_t repeats);
/// Entries connected to an agent.
void PrintAgentLinks(std::size_t repeats);
/// Names and answers in an agent's start table.
void PrintStartTable(std::size_t repeats);
/// Claims, ends and snapshots of the job ledger.
void PrintLedger(std::size_t repeats);
/// Heartbeats at the control leader.
void PrintHeartbeats(std::size_t repeats);
/// Checking, merging and fetching a configuration.
void PrintConfig(std::size_t repeats);
/// Bytes of one frame of each message.
void PrintFrames(std::size_t repeats);

}  // namespace almond::bench

#endif  // ALMOND_BENCH_CAPACITY_FIGURES_H_
