#ifndef ALMOND_CORE_DISPATCH_MESSAGES_H_
#define ALMOND_CORE_DISPATCH_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/identifiers.h"
#include "libalmond/core/outcome.h"
#include "libalmond/core/task.h"

namespace almond {

/// Operations that an endpoint supports on a running task.
struct endpoint_controls {
  bool pause = false;  ///< pause and resume
  bool checkpoint = false;
  bool stop = false;

  bool operator==(const endpoint_controls&) const = default;
};

/// Time for which a grant is valid after it was sent or renewed. No grants are
/// issued for a leaving endpoint, so this also bounds the time in which it
/// still receives work.
inline constexpr milliseconds kGrantLease{2000};

/// Agent to entry, each second and on change: describes the agent and its
/// endpoint. Unless the agent is leaving, the message also renews all grants
/// that the entry holds from it.
struct announce_message {
  agent_id agent;
  incarnation_id incarnation;
  data_centre_id data_centre;
  service_id service;  ///< empty while the agent has no endpoint
  std::uint32_t slots = 0;
  /// Total processor capacity of the endpoint in thousandths of a core; 0 means
  /// no limit.
  std::uint32_t cpu_milli = 0;
  /// Total memory of the endpoint in MiB; 0 means no limit.
  std::uint32_t memory_mib = 0;
  endpoint_controls controls;
  bool leaving = false;
  config_version version;  ///< configuration in force at the agent
};

/// Agent to entry: each grant permits the start of one task.
struct grant_message {
  std::vector<grant_id> grants;
  milliseconds lease{0};  ///< starts when the agent sends the message
};

/// Agent to entry: requests the return of unused grants.
struct recall_message {
  std::uint32_t count = 0;
};

/// Outcome of a start.
enum class start_outcome : std::uint8_t {
  done,      ///< status 200; the body is the result
  failed,    ///< the endpoint answered with another status; the task ran
  refused,   ///< the endpoint refused and states that nothing ran
  not_sent,  ///< not started by the agent (grant expired, endpoint unreachable)
  fenced,    ///< the name was fenced before the start arrived; nothing ran
  lost       ///< the start was sent without an answer; may have run
};

/// Agent to entry: the result of one start.
struct answer_message {
  task_name name;
  start_outcome outcome = start_outcome::lost;
  std::uint16_t status = 0;  ///< HTTP status of the endpoint, 0 if none
  std::string body;
  milliseconds run_time{0};  ///< time on the slot, without suspensions
  /// A new grant, which the entry may use for its next task.
  std::optional<grant_id> next_grant;
};

/// State of a task name at an agent.
enum class task_state : std::uint8_t {
  not_seen,  ///< not seen by this incarnation
  running,   ///< started and not ended; includes suspended tasks
  ended,     ///< ended; the answer is attached
  fenced,    ///< not started, and refused from now on
  unknown    ///< another incarnation may have started it
};

/// State of one task in the answer to a query.
struct task_report {
  task_name name;
  task_state state = task_state::unknown;
  /// Valid if the state is `ended`.
  answer_message answer;
};

/// Agent to entry: answer to a query. Lists the queried names in their order,
/// or for a whole submission all names that the agent knows.
struct query_answer_message {
  std::uint64_t query = 0;
  agent_id agent;
  incarnation_id incarnation;
  std::vector<task_report> tasks;
};

/// Entry to agent: starts a task and consumes the grant.
struct start_message {
  grant_id grant;
  task_name name;
  owner_epoch epoch;
  request_kind kind;
  std::string body;
  milliseconds time_left{0};  ///< until the caller's deadline
  task_size size;
  bool named_submission = false;
  /// This agent's share of the tasks queued at the entry for the service,
  /// rounded up.
  std::uint32_t backlog = 0;
};

/// Entry to agent: returns unused grants.
struct return_grants_message {
  std::vector<grant_id> grants;
};

/// Entry to agent: this agent's share of the tasks queued at the entry for the
/// service; 0 while the entry has ejected the endpoint.
struct demand_message {
  std::uint32_t backlog = 0;
  bool overloaded = false;  ///< the entry refuses work for lack of slots
};

/// Entry to agent: requests the state of tasks.
struct query_message {
  std::uint64_t query = 0;
  /// Incarnation that the starts were sent to; 0 queries the current one.
  incarnation_id incarnation;
  std::vector<task_name> names;
  /// Queries all tasks of this submission instead of `names`.
  std::optional<uuid> submission;
  /// Number of tasks of the submission, so that unknown ones can be fenced.
  std::uint32_t task_count = 0;
  bool fence = false;  ///< refuse names not seen so far from now on
  owner_epoch epoch;   ///< starts of lower epochs are refused from now on
};

/// Entry to agent: stops tasks if possible; their answers are still sent.
struct cancel_message {
  std::vector<task_name> names;
};

/// Entry to agent: acknowledges answers, which the agent may then drop.
struct acknowledge_message {
  std::vector<task_name> names;
};

/// Entry to agent, each second: identifies the entry and its configuration.
struct entry_hello_message {
  entry_id entry;
  incarnation_id incarnation;
  config_version version;
};

/// Either direction: requests the receiver's configuration.
struct config_request_message {};

/// Either direction: one accepted configuration, as text.
struct config_snapshot_message {
  config_version version;
  std::string document;  ///< a serialized config_document
};

/// A message from an agent to an entry.
using agent_message =
    std::variant<announce_message, grant_message, recall_message,
                 answer_message, query_answer_message, config_request_message,
                 config_snapshot_message>;

/// A message from an entry to an agent.
using entry_message =
    std::variant<entry_hello_message, start_message, return_grants_message,
                 demand_message, query_message, cancel_message,
                 acknowledge_message, config_request_message,
                 config_snapshot_message>;

}  // namespace almond

#endif  // ALMOND_CORE_DISPATCH_MESSAGES_H_
