#ifndef ALMOND_CORE_JOB_MESSAGES_H_
#define ALMOND_CORE_JOB_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/outcome.h"
#include "libalmond/core/run_messages.h"

namespace almond {

/// A step of a job: tasks with the same needs that may run in parallel.
struct job_step {
  std::uint32_t count = 1;
  resources needed;  ///< for each task
  milliseconds estimate{0};
  /// Indexes of earlier steps that must end before this step starts.
  std::vector<std::uint32_t> dependencies;
};

/// A job whose caller waits for the answer.
struct job_request {
  job_id id;
  std::string spec;  ///< passed through to the endpoints
  std::vector<job_step> steps;
  milliseconds timeout{0};  ///< after which the caller no longer waits
};

/// Outcome of a job in the answer to its caller.
enum class job_outcome : std::uint8_t {
  complete,
  failed,       ///< a task has failed in all attempts that its route allows
  overloaded,   ///< refused, nothing has run or will run
  unavailable,  ///< refused for another cause, nothing has run or will run
  timed_out,    ///< the timeout has passed; tasks may have run
  interrupted   ///< cancelled or stopped by a shutdown; tasks may have
                ///< run, the others will not run
};

/// Answer to a job's caller.
struct job_answer {
  job_outcome outcome = job_outcome::unavailable;
  refusal_reason reason = refusal_reason::no_endpoint;
  /// Delay before a retry by a refused caller; empty if a retry would not help.
  std::optional<milliseconds> retry_after;
};

}  // namespace almond

#endif  // ALMOND_CORE_JOB_MESSAGES_H_
