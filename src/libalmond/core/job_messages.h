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

/// Tasks of a job that are alike and may run at the same time.
struct job_step {
  std::uint32_t count = 1;
  resources needed;  ///< of each task
  milliseconds estimate{0};
  /// Earlier steps that must have ended.
  std::vector<std::uint32_t> dependencies;
};

/// A job whose caller waits for its end.
struct job_request {
  job_id id;
  std::string spec;  ///< passed through to the endpoints
  std::vector<job_step> steps;
  milliseconds timeout{0};  ///< after which the caller no longer waits
};

/// How a job was answered.
enum class job_outcome : std::uint8_t {
  complete,
  failed,       ///< a task has failed as often as its route allows
  overloaded,   ///< refused, nothing has run or will run
  unavailable,  ///< refused for another cause, nothing has run or will run
  timed_out,    ///< some of it has run
  interrupted   ///< some of it has run, and the rest cannot
};

/// Answer to a job's caller.
struct job_answer {
  job_outcome outcome = job_outcome::unavailable;
  refusal_reason reason = refusal_reason::no_endpoint;
  /// When a refused caller may try again; none if that would not help.
  std::optional<milliseconds> retry_after;
};

}  // namespace almond

#endif  // ALMOND_CORE_JOB_MESSAGES_H_
