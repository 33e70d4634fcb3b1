#ifndef ALMOND_CORE_OUTCOME_H_
#define ALMOND_CORE_OUTCOME_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace almond {

/// What is known about the execution of a request or task that has no result.
enum class run_outcome : std::uint8_t {
  not_run,  ///< nothing was started; the request may be sent again
  ran,      ///< it was started, and may have taken effect
  unknown   ///< it may or may not have been started
};

/// @returns the value of the Almond-Outcome header
std::string_view Name(run_outcome outcome);

/// @param name value of an Almond-Outcome header
/// @returns the outcome, or nothing if the name is not one
std::optional<run_outcome> ParseRunOutcome(std::string_view name);

/// Why a request was refused or failed. The names are label values of counters.
enum class refusal_reason : std::uint8_t {
  bad_request,
  bad_json,
  bad_utf8,
  bad_header,
  bad_submission_id,
  unknown_service,
  unknown_path,
  unknown_job,
  unknown_team,
  body_too_large,
  too_many_tasks,
  exceeds_capacity,
  team_quota,
  overloaded,
  no_endpoint,
  draining,
  ledger_unavailable,
  no_configuration,
  submission_conflict,
  submission_expired,
  deadline_in_queue,
  deadline_running,
  cancelled,
  task_failed,
  endpoint_refused,
  endpoint_lost,
  agent_lost,
  owner_lost,
  answer_lost,
};

inline constexpr std::size_t kRefusalReasonCount =
    static_cast<std::size_t>(refusal_reason::answer_lost) + 1;

/// @returns the name in kebab case, as used in answers and counters
std::string_view Name(refusal_reason reason);

/// @param name a name in kebab case
/// @returns the reason, or nothing if the name is not one
std::optional<refusal_reason> ParseRefusalReason(std::string_view name);

/// Why a task was retried at another endpoint.
enum class retry_reason : std::uint8_t {
  grant_expired,  ///< the agent refused the start since its grant had expired
  endpoint_refused,  ///< the endpoint refused and states that nothing ran
  start_not_sent,    ///< the start never reached the agent or endpoint
  fenced,            ///< the agent proved that it had not started the task
  task_failed,       ///< idempotent request; the attempt failed
  outcome_unknown    ///< idempotent request; the attempt's outcome is unknown
};

inline constexpr std::size_t kRetryReasonCount =
    static_cast<std::size_t>(retry_reason::outcome_unknown) + 1;

/// @returns the name in kebab case, as used in counters
std::string_view Name(retry_reason reason);

/// Refusal or failure of a request or task.
struct refusal {
  refusal_reason reason = refusal_reason::bad_request;
  run_outcome outcome = run_outcome::not_run;
  std::string detail;  ///< explanation for the operator or caller; may be empty

  bool operator==(const refusal&) const = default;
};

/// Body of the endpoint's response with status 200.
struct task_success {
  std::string body;

  bool operator==(const task_success&) const = default;
};

/// The outcome of one task: its result, or why it has none.
using task_result = std::variant<task_success, refusal>;

}  // namespace almond

#endif  // ALMOND_CORE_OUTCOME_H_
