#ifndef ALMOND_CORE_RUN_MESSAGES_H_
#define ALMOND_CORE_RUN_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include "libalmond/core/clock.h"
#include "libalmond/core/identifiers.h"
#include "libalmond/core/resources.h"

namespace almond {

/// Id of a job, chosen by its caller.
using job_id = typed_name<struct job_tag>;
/// Id of an endpoint, from its announcement.
using endpoint_id = typed_name<struct endpoint_tag>;
/// Reading of the agent's clock in milliseconds; compared by the agent only.
using agent_timestamp = typed_number<struct agent_timestamp_tag>;

/// Identifies one run of one task of a job.
struct run_key {
  job_id job;
  std::uint32_t occurrence = 0;  ///< of a recurring job, from 0
  std::uint32_t step = 0;        ///< from 0
  std::uint32_t index = 0;       ///< of the task within its step, from 0
  std::uint32_t run = 0;  ///< from 1; incremented with each start of the task

  auto operator<=>(const run_key&) const = default;
};

/// How a run ended.
enum class run_end_kind : std::uint8_t {
  done,
  failed,      ///< because of the task or the endpoint
  not_run,     ///< refused before it began
  superseded,  ///< refused, since the endpoint knows this run or a later one
  stopped,     ///< ended by a stop request
  lost         ///< the endpoint was lost, or its lease expired
};

/// Entry to agent: starts a run.
struct run_start {
  endpoint_id endpoint;
  run_key key;
  service_id service;
  std::string spec;  ///< passed through to the endpoint
  resources needed;
  milliseconds estimate{0};  ///< expected run time
  /// Latest timestamp that the entry has received from this agent.
  agent_timestamp newest_timestamp;
  std::uint64_t order = 0;  ///< sequence number on this link, from 1
  /// Time until the latest begin that still meets the job's objective; negative
  /// if it has passed.
  milliseconds slack{0};
  bool job_started = false;    ///< other runs of the job have begun
  std::uint32_t priority = 0;  ///< of the route; 0 is the highest
};

/// Entry to agent: stops a run.
struct run_stop {
  endpoint_id endpoint;
  run_key key;
};

/// Entry to agent: withdraws a start that still waits for resources, so that it
/// ends as not run; has no effect otherwise.
struct run_withdraw {
  endpoint_id endpoint;
  run_key key;
};

/// Agent to entry: current state of an endpoint; sent each
/// kAnnouncePeriod and on change.
struct endpoint_state {
  endpoint_id endpoint;
  service_id service;
  data_centre_id data_centre;
  resources total;
  /// Free resources. The cores that waiting starts need are deducted, so that
  /// `cpu_milli` may be negative.
  resources unused;
  /// False if the endpoint or agent is leaving, its data centre is evacuated,
  /// or the endpoint is gone, has no lease or lists runs that this agent
  /// incarnation did not start.
  bool accepting = false;
  agent_timestamp timestamp;
  /// Highest `order` of this link that `unused` takes into account.
  std::uint64_t orders_seen = 0;
  std::uint32_t waiting = 0;  ///< starts of all links that wait for resources
  /// Lowest priority, that is the largest value, among the waiting starts.
  std::uint32_t waiting_priority = 0;
  /// Time for which the endpoint remains slow after its start.
  milliseconds cold_left{0};
};

/// Agent to entry: reports the end of a run.
struct run_end {
  endpoint_id endpoint;
  run_key key;
  run_end_kind kind = run_end_kind::not_run;
  milliseconds ran{0};  ///< time from the start request to the end
};

/// A message from an entry about runs.
using entry_run_message = std::variant<run_start, run_stop, run_withdraw>;
/// A message from an agent about runs.
using agent_run_message = std::variant<endpoint_state, run_end>;

}  // namespace almond

template <>
struct std::hash<almond::run_key> {
  std::size_t operator()(const almond::run_key& key) const noexcept {
    std::size_t result = std::hash<std::string>{}(key.job.Value());
    constexpr std::size_t kFactor = 31;
    for (const std::size_t part : {key.step, key.index, key.run}) {
      result = result * kFactor + part;
    }
    return result;
  }
};

#endif  // ALMOND_CORE_RUN_MESSAGES_H_
