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

/// Controls that an endpoint offers for a running task.
struct endpoint_controls {
  bool pause = false;  ///< pause and resume
  bool checkpoint = false;
  bool stop = false;

  bool operator==(const endpoint_controls&) const = default;
};

/// Time for which a grant may be used after it was sent or renewed. With the
/// end of granting at a leave, it bounds the time in which a leaving endpoint
/// still gets work.
inline constexpr milliseconds kGrantLease{2000};

/// Agent to entry, each second and on change: the agent and its endpoint.
/// Unless the agent leaves, it renews all grants that the entry holds from it.
struct announce_message {
  agent_id agent;
  incarnation_id incarnation;
  data_centre_id data_centre;
  service_id service;  ///< empty while no endpoint announces itself
  std::uint32_t slots = 0;
  std::uint32_t cpu_milli = 0;   ///< thousandths of a core, whole endpoint
  std::uint32_t memory_mib = 0;  ///< mebibytes, whole endpoint
  endpoint_controls controls;
  bool leaving = false;
  config_version version;  ///< configuration in force at the agent
};

/// Agent to entry: permission to start one task for each id.
struct grant_message {
  std::vector<grant_id> grants;
  milliseconds lease{0};  ///< from the moment the agent sends it
};

/// Agent to entry: asks for unused grants back.
struct recall_message {
  std::uint32_t count = 0;
};

/// How a start ended.
enum class start_outcome : std::uint8_t {
  done,      ///< status 200; the body is the result
  failed,    ///< the endpoint answered with another status; it ran
  refused,   ///< the endpoint refused truthfully; nothing ran
  not_sent,  ///< the agent did not start it (grant ended, endpoint unreachable)
  fenced,    ///< the name was fenced before the start came; nothing ran
  lost       ///< the start was written, no answer came; may have run
};

/// Agent to entry: the end of one start.
struct answer_message {
  task_name name;
  start_outcome outcome = start_outcome::lost;
  std::uint16_t status = 0;  ///< HTTP status of the endpoint, 0 if none
  std::string body;
  milliseconds run_time{0};  ///< time on the slot, suspensions excluded
  /// A grant that may be used at once for the next task.
  std::optional<grant_id> next_grant;
};

/// What an agent knows of a task name.
enum class task_state : std::uint8_t {
  not_seen,  ///< not seen by this incarnation
  running,   ///< started, no end yet; includes suspended tasks
  ended,     ///< the answer is attached
  fenced,    ///< refused from now on
  unknown    ///< another incarnation may have started it
};

/// State of one task in a query's answer.
struct task_report {
  task_name name;
  task_state state = task_state::unknown;
  /// Valid if the state is `ended`.
  answer_message answer;
};

/// Agent to entry: answer to a query, in the order of the query, or for a whole
/// submission all names that the agent knows.
struct query_answer_message {
  std::uint64_t query = 0;
  agent_id agent;
  incarnation_id incarnation;
  std::vector<task_report> tasks;
};

/// Entry to agent: start a task. The grant is used up by it.
struct start_message {
  grant_id grant;
  task_name name;
  owner_epoch epoch;
  request_kind kind;
  std::string body;
  milliseconds time_left{0};  ///< until the caller's deadline
  task_size size;
  bool named_submission = false;
  std::uint32_t backlog = 0;  ///< tasks still queued for the service
};

/// Entry to agent: unused grants.
struct return_grants_message {
  std::vector<grant_id> grants;
};

/// Entry to agent: how many tasks are queued beyond the grants held.
struct demand_message {
  std::uint32_t backlog = 0;
  bool overloaded = false;  ///< the entry refuses work for lack of slots
};

/// Entry to agent: what became of these tasks?
struct query_message {
  std::uint64_t query = 0;
  /// Incarnation that the starts went to; 0 asks whichever runs.
  incarnation_id incarnation;
  std::vector<task_name> names;
  /// Asks for all tasks of this submission instead of the names.
  std::optional<uuid> submission;
  /// Number of tasks of the submission, so that absent ones can be fenced.
  std::uint32_t task_count = 0;
  bool fence = false;  ///< refuse names never seen from now on
  owner_epoch epoch;   ///< starts of lower epochs are refused from now on
};

/// Entry to agent: stop these tasks if possible; their answers still come.
struct cancel_message {
  std::vector<task_name> names;
};

/// Entry to agent: these answers have arrived and may be dropped.
struct acknowledge_message {
  std::vector<task_name> names;
};

/// Entry to agent, each second: the entry and its configuration version.
struct entry_hello_message {
  entry_id entry;
  incarnation_id incarnation;
  config_version version;
};

/// Either direction: send me the configuration that you have.
struct config_request_message {};

/// Either direction: one accepted configuration, as text.
struct config_snapshot_message {
  config_version version;
  std::string document;  ///< see config_document
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
