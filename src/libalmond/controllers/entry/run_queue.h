#ifndef ALMOND_CONTROLLERS_ENTRY_RUN_QUEUE_H_
#define ALMOND_CONTROLLERS_ENTRY_RUN_QUEUE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <set>

#include "libalmond/core/clock.h"
#include "libalmond/core/run_messages.h"

namespace almond {

/// A task waiting to be placed.
struct waiting_task {
  job_id job;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const waiting_task&) const = default;
};

/// Scheduling order of a waiting task.
struct run_urgency {
  /// Latest start at which the job still meets its objective.
  steady_time latest_start;
  std::uint32_t priority = 0;  ///< of the route; 0 is the highest
  bool job_started = false;    ///< a task of its job is placed or done
};

/// Priority queue of the tasks waiting to be placed, for temporary overload
/// with a mix of short and long jobs. The order is:
/// - tasks of started jobs, since a job is useless to its caller until its last
///   task ends, and work already done is lost if the job is late;
/// - tasks that can still meet their objective, by latest start, so that short
///   jobs overtake long ones;
/// - tasks that can no longer meet theirs, which would otherwise make the
///   others late too.
class run_queue {
 public:
  /// Delay added to the latest start per priority level below the highest.
  static constexpr milliseconds kPriorityDelay{40};
  /// Time from the order of a task to its start under overload. A task with
  /// less time than this until its latest start is late.
  static constexpr milliseconds kStartDelay{30};

  void Add(const waiting_task& task, const run_urgency& urgency);
  void Remove(const waiting_task& task, const run_urgency& urgency);
  /// Offers the tasks in scheduling order.
  /// @param now current time, which decides the tasks that are late
  /// @param offer returns true to take the task, which removes it
  void OfferInOrder(steady_time now,
                    const std::function<bool(const waiting_task&)>& offer);
  std::size_t size() const { return started_jobs_.size() + new_jobs_.size(); }

 private:
  struct ranked_task {
    steady_time rank;
    waiting_task task;
    steady_time latest_start;

    auto operator<=>(const ranked_task&) const = default;
  };
  using ranked_set = std::set<ranked_task>;

  static ranked_task MakeRanked(const waiting_task& task,
                                const run_urgency& urgency);

  ranked_set started_jobs_;
  ranked_set new_jobs_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_RUN_QUEUE_H_
