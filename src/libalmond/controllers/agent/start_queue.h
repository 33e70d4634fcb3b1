#ifndef ALMOND_CONTROLLERS_AGENT_START_QUEUE_H_
#define ALMOND_CONTROLLERS_AGENT_START_QUEUE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <tuple>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/run_messages.h"

namespace almond {

/// A start that is queued for free resources.
struct queued_start {
  link_id link;
  run_start start;
  steady_time arrived;

  /// Sort key of the queue: by priority, then starts of jobs that have other
  /// runs started, then starts that can still meet their objective, then the
  /// others; within each group by the latest start time.
  auto Rank(steady_time now) const {
    const steady_time latest_start = arrived + start.slack;
    return std::tuple(start.priority, !start.job_started,
                      !start.job_started && latest_start < now, latest_start);
  }
};

/// The starts that are queued for free resources of one endpoint.
class start_queue {
 public:
  /// Longest time that a start is queued before it is refused. Its entry
  /// withdraws it earlier if it finds a better endpoint.
  static constexpr milliseconds kMaxQueueTime{150};
  /// Longest queue of starts. One queued start keeps the resources in use while
  /// the entries learn that a run has ended. Each further one is bound to this
  /// endpoint until another run ends, and may miss its objective meanwhile. The
  /// second place allows for two entries that send a start at the same time.
  static constexpr std::size_t kMaxQueuedStarts = 2;

  /// @param clock source of time; outlives the queue
  explicit start_queue(const clock_interface& clock) : clock_(clock) {}

  /// @returns true if the queue has a place, or one with a lower priority than
  ///   the start
  bool HasPlaceFor(const run_start& start) const;
  /// Adds a start.
  /// @returns the start that lost its place to it, if any
  std::optional<queued_start> Add(link_id link, const run_start& start);
  /// Removes the first start if it fits.
  /// @param unused unused resources of the endpoint
  /// @returns the start, if it fits
  std::optional<queued_start> TakeNext(const resources& unused);
  /// Removes the starts that have waited for kMaxQueueTime.
  std::vector<queued_start> TakeTimedOut();
  /// Removes all starts.
  std::vector<queued_start> TakeAll();
  /// Removes a start.
  /// @param link link that the start arrived on; empty: any
  /// @returns false if there is none
  bool Remove(const run_key& key, std::optional<link_id> link);
  void RemoveLink(link_id link);

  bool Contains(const run_key& key) const;
  bool HasLink(link_id link) const;
  bool Empty() const { return queued_.empty(); }
  std::size_t Size() const { return queued_.size(); }
  /// @returns CPU need of all starts, in thousandths of a core
  std::int64_t CpuMilli() const;
  /// @returns the largest value of `priority`, 0 if there are no starts
  std::uint32_t LowestPriority() const;

 private:
  void Sort();
  std::vector<queued_start> TakeMatching(
      const std::function<bool(const queued_start&)>& matches);

  const clock_interface& clock_;
  std::vector<queued_start> queued_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_START_QUEUE_H_
