#include "libalmond/controllers/entry/run_queue.h"

namespace almond {
namespace {

/// Offers the tasks for which `matches` returns true.
template <typename Set, typename Predicate>
void OfferMatching(Set& tasks, const Predicate& matches,
                   const std::function<bool(const waiting_task&)>& offer) {
  for (auto next = tasks.begin(); next != tasks.end();) {
    next = matches(*next) && offer(next->task) ? tasks.erase(next)
                                               : std::next(next);
  }
}

}  // namespace

void run_queue::Add(const waiting_task& task, const run_urgency& urgency) {
  (urgency.job_started ? started_jobs_ : new_jobs_)
      .insert(MakeRanked(task, urgency));
}

void run_queue::Remove(const waiting_task& task, const run_urgency& urgency) {
  (urgency.job_started ? started_jobs_ : new_jobs_)
      .erase(MakeRanked(task, urgency));
}

void run_queue::OfferInOrder(
    steady_time now, const std::function<bool(const waiting_task&)>& offer) {
  const steady_time bound = now + kStartDelay;
  const auto late = [bound](const auto& task) {
    return task.latest_start < bound;
  };
  const auto in_time = [&late](const auto& task) { return !late(task); };
  OfferMatching(
      started_jobs_, [](const auto&) { return true; }, offer);
  OfferMatching(new_jobs_, in_time, offer);
  OfferMatching(new_jobs_, late, offer);
}

run_queue::ranked_task run_queue::MakeRanked(const waiting_task& task,
                                             const run_urgency& urgency) {
  return {urgency.latest_start + kPriorityDelay * urgency.priority, task,
          urgency.latest_start};
}

}  // namespace almond
