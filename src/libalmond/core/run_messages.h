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

/// Name of a job, chosen by its caller.
using job_id = typed_name<struct job_tag>;
/// Name of an endpoint, announced by itself.
using endpoint_id = typed_name<struct endpoint_tag>;
/// Reading of the agent's clock in milliseconds; only the agent compares it.
using agent_timestamp = typed_number<struct agent_timestamp_tag>;

/// One start of one task of a job.
struct run_key {
  job_id job;
  std::uint32_t occurrence = 0;  ///< of a job that repeats, from 0
  std::uint32_t step = 0;        ///< from 0
  std::uint32_t index = 0;       ///< of the task within its step, from 0
  std::uint32_t run = 0;         ///< from 1; rises with each start of the task

  auto operator<=>(const run_key&) const = default;
};

/// How a run ended.
enum class run_end_kind : std::uint8_t {
  done,
  failed,      ///< through a fault of its own or of the endpoint
  not_run,     ///< refused before it began
  superseded,  ///< refused, as the endpoint knows this run or a higher one
  stopped,     ///< ended by a stop order
  lost         ///< ended with the endpoint, or with its lease
};

/// Entry to agent: start a run.
struct run_start {
  endpoint_id endpoint;
  run_key key;
  service_id service;
  std::string spec;  ///< passed through to the endpoint
  resources needed;
  milliseconds estimate{0};  ///< of the time that the run takes
  /// Newest timestamp that the entry has of this agent.
  agent_timestamp newest_timestamp;
  std::uint64_t order = 0;  ///< counts this link's starts, from 1
  /// Time left until the run has to begin to meet its objective; negative if
  /// that has passed.
  milliseconds slack{0};
  bool job_started = false;    ///< other runs of the job have begun
  std::uint32_t priority = 0;  ///< of the route; 0 comes first
};

/// Entry to agent: stop a run.
struct run_stop {
  endpoint_id endpoint;
  run_key key;
};

/// Entry to agent: give a start back as not run if it still waits for room;
/// nothing is done otherwise.
struct run_withdraw {
  endpoint_id endpoint;
  run_key key;
};

/// Agent to entry: an endpoint as of now; repeated each kAnnouncePeriod.
struct endpoint_state {
  endpoint_id endpoint;
  service_id service;
  data_centre_id data_centre;
  resources total;
  /// Negative by the room of orders that wait at the agent.
  resources unused;
  bool accepting = false;  ///< false if leaving, gone, or not under a lease
  agent_timestamp timestamp;
  std::uint64_t orders_seen = 0;  ///< starts of this link that `unused` covers
  std::uint32_t waiting = 0;      ///< starts of all links that wait for room
  /// Lowest priority among the starts that wait.
  std::uint32_t waiting_priority = 0;
};

/// Agent to entry: a run has ended.
struct run_end {
  endpoint_id endpoint;
  run_key key;
  run_end_kind kind = run_end_kind::not_run;
  milliseconds ran{0};  ///< time from the order to the end
};

/// A message of an entry about runs.
using entry_run_message = std::variant<run_start, run_stop, run_withdraw>;
/// A message of an agent about runs.
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
