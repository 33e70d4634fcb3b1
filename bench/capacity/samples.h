#ifndef ALMOND_BENCH_CAPACITY_SAMPLES_H_
#define ALMOND_BENCH_CAPACITY_SAMPLES_H_

#include <cstddef>
#include <cstdint>

#include "libalmond/core/control_messages.h"
#include "libalmond/core/dispatch_messages.h"
#include "libalmond/core/task.h"

namespace almond::bench {

/// Size of the bodies of tasks and answers in the samples.
inline constexpr std::size_t kBodyBytes = 200;
/// Slots of each endpoint in the samples.
inline constexpr std::uint32_t kSlots = 8;

/// @returns a version 7 UUID of the given time, distinct for each number
uuid SampleId(std::uint64_t number, wall_time time);
/// @returns a task of the sample service in its own submission
task SampleTask(std::uint64_t number, const clock_interface& clock);
/// @returns the announcement of agent `number`
announce_message SampleAnnouncement(std::size_t number);
/// @returns a start with all fields set, as an entry sends it
start_message SampleStart(const task& work, grant_id grant);
/// @returns a successful answer with a body
answer_message SampleAnswer(const task_name& name, grant_id next);
/// @returns a heartbeat of process `number`
heartbeat_message SampleHeartbeat(process_role role, std::size_t number);
/// @returns a claim of submission `number`
ledger_claim_message SampleClaim(std::uint64_t number, wall_time now);

}  // namespace almond::bench

#endif  // ALMOND_BENCH_CAPACITY_SAMPLES_H_
