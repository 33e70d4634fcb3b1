#include "libalmond/controllers/agent/start_queue.h"

#include <algorithm>
#include <utility>

namespace almond {

bool start_queue::HasPlaceFor(const run_start& start) const {
  return queued_.size() < kMaxQueuedStarts ||
         start.priority < queued_.back().start.priority;
}

std::optional<queued_start> start_queue::Add(link_id link,
                                             const run_start& start) {
  queued_.push_back({link, start, clock_.SteadyNow()});
  Sort();
  if (queued_.size() <= kMaxQueuedStarts) return std::nullopt;
  queued_start last = std::move(queued_.back());
  queued_.pop_back();
  return last;
}

std::optional<queued_start> start_queue::TakeNext(const resources& unused) {
  Sort();
  if (queued_.empty() || !unused.Covers(queued_.front().start.needed)) {
    return std::nullopt;
  }
  queued_start next = std::move(queued_.front());
  queued_.erase(queued_.begin());
  return next;
}

std::vector<queued_start> start_queue::TakeTimedOut() {
  return TakeMatching([now = clock_.SteadyNow()](const queued_start& queued) {
    return now - queued.arrived >= kMaxQueueTime;
  });
}

std::vector<queued_start> start_queue::TakeAll() {
  return std::exchange(queued_, {});
}

bool start_queue::Remove(const run_key& key, std::optional<link_id> link) {
  return !TakeMatching([&](const queued_start& queued) {
            return queued.start.key == key && (!link || queued.link == *link);
          }).empty();
}

void start_queue::RemoveLink(link_id link) {
  TakeMatching(
      [link](const queued_start& queued) { return queued.link == link; });
}

bool start_queue::Contains(const run_key& key) const {
  return std::any_of(
      queued_.begin(), queued_.end(),
      [&key](const auto& queued) { return queued.start.key == key; });
}

bool start_queue::HasLink(link_id link) const {
  return std::any_of(
      queued_.begin(), queued_.end(),
      [link](const auto& queued) { return queued.link == link; });
}

std::int64_t start_queue::CpuMilli() const {
  std::int64_t needed = 0;
  for (const queued_start& queued : queued_) {
    needed += queued.start.needed.cpu_milli;
  }
  return needed;
}

std::uint32_t start_queue::LowestPriority() const {
  std::uint32_t lowest = 0;
  for (const queued_start& queued : queued_) {
    lowest = std::max(lowest, queued.start.priority);
  }
  return lowest;
}

void start_queue::Sort() {
  std::stable_sort(queued_.begin(), queued_.end(),
                   [now = clock_.SteadyNow()](const queued_start& left,
                                              const queued_start& right) {
                     return left.Rank(now) < right.Rank(now);
                   });
}

std::vector<queued_start> start_queue::TakeMatching(
    const std::function<bool(const queued_start&)>& matches) {
  std::vector<queued_start> taken;
  std::erase_if(queued_, [&](const queued_start& queued) {
    if (!matches(queued)) return false;
    taken.push_back(queued);
    return true;
  });
  return taken;
}

}  // namespace almond
