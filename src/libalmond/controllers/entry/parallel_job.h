#ifndef ALMOND_CONTROLLERS_ENTRY_PARALLEL_JOB_H_
#define ALMOND_CONTROLLERS_ENTRY_PARALLEL_JOB_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libalmond/controllers/entry/endpoint_pool.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/job_messages.h"
#include "libalmond/core/run_messages.h"

namespace almond {

/// Identifies one caller that waits for a job.
using caller_id = typed_number<struct caller_tag>;

enum class task_phase : std::uint8_t {
  blocked,   ///< waits for the steps it depends on
  waiting,   ///< in the queue
  placed,    ///< start sent to an agent
  in_doubt,  ///< link to its agent lost; may still run
  done
};

struct parallel_task {
  task_phase phase = task_phase::blocked;
  std::uint32_t run = 0;
  std::uint32_t failures = 0;
  endpoint_key place;
  bool waits_at_agent = false;  ///< sent without free resources
  bool withdrawal_sent = false;
  steady_time in_doubt_until;
  std::vector<endpoint_id> failed_at;
};

struct parallel_step {
  job_step plan;
  std::vector<parallel_task> tasks;
  std::uint32_t open = 0;  ///< tasks that are not done
  steady_time latest_start;
};

/// A parallel job in progress.
struct parallel_job {
  using answer_hook = std::function<void(const job_answer&)>;

  job_request request;
  service_id service;
  std::string route_name;
  std::uint32_t max_attempts = 1;
  std::uint32_t priority = 0;
  std::uint32_t open_steps = 0;
  steady_time arrived;
  steady_time deadline;
  /// Number of ordered runs that were neither reported as not run nor refused
  /// as superseded. While it is 0, no task of the job has run.
  std::uint32_t possible_runs = 0;
  /// A task was placed on free resources or is done.
  bool started = false;
  /// See parallel_job_controller::kMaxStartDelayRatio.
  steady_time start_deadline;
  /// The job is to be refused: no more tasks are placed, and the job ends
  /// once `possible_runs` is 0. Reset if a task is done before.
  bool refusing = false;
  std::vector<parallel_step> steps;
  std::map<caller_id, answer_hook> callers;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_PARALLEL_JOB_H_
