#ifndef ALMOND_CONTROLLERS_ENTRY_RUN_QUEUE_H_
#define ALMOND_CONTROLLERS_ENTRY_RUN_QUEUE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <set>

#include "libalmond/core/clock.h"
#include "libalmond/core/run_messages.h"

namespace almond {

/// A task that waits for room.
struct waiting_task {
  job_id job;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const waiting_task&) const = default;
};

/// Tasks that wait for room, in the order in which they are placed. Answers a
/// load that exceeds the room for a while, with short and long jobs mixed:
/// - tasks that can still meet their objective come first, by the latest time
///   at which they have to start, which lets short jobs pass long ones;
/// - then tasks that can no longer meet it, so that these do not make the
///   others late too: first those of jobs that have begun, as work already done
///   is lost if the job does not end in its caller's time.
class run_queue {
 public:
  /// A task of a lower priority counts as due so much later for each level.
  static constexpr milliseconds kPriorityStep{40};

  /// @param latest_start time at which the task has to start
  /// @param begun true if its job has started
  void Add(const waiting_task& task, steady_time latest_start, bool begun);
  void Remove(const waiting_task& task, steady_time latest_start, bool begun);
  /// Offers the tasks in order.
  /// @param now divides tasks that can meet their objective from others
  /// @param offer returns true if the task was taken, which removes it
  void Offer(steady_time now,
             const std::function<bool(const waiting_task&)>& offer);
  std::size_t size() const { return begun_.size() + fresh_.size(); }

 private:
  struct ranked_task {
    steady_time latest_start;
    waiting_task task;

    auto operator<=>(const ranked_task&) const = default;
  };
  using ranked_set = std::set<ranked_task>;

  /// Offers the tasks from `first` on in one order.
  void OfferInTime(const ranked_task& first,
                   const std::function<bool(const waiting_task&)>& offer);
  static void OfferRange(ranked_set& set, ranked_set::iterator position,
                         ranked_set::iterator end,
                         const std::function<bool(const waiting_task&)>& offer);

  ranked_set begun_;
  ranked_set fresh_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_RUN_QUEUE_H_
