#include "libalmond/controllers/entry/run_queue.h"

namespace almond {

void run_queue::Add(const waiting_task& task, steady_time latest_start,
                    bool begun) {
  (begun ? begun_ : fresh_).insert({latest_start, task});
}

void run_queue::Remove(const waiting_task& task, steady_time latest_start,
                       bool begun) {
  (begun ? begun_ : fresh_).erase({latest_start, task});
}

void run_queue::Offer(steady_time now,
                      const std::function<bool(const waiting_task&)>& offer) {
  OfferRange(begun_, begun_.begin(), begun_.end(), offer);
  const ranked_task first_in_time{now, {}};
  OfferRange(fresh_, fresh_.lower_bound(first_in_time), fresh_.end(), offer);
  OfferRange(fresh_, fresh_.begin(), fresh_.lower_bound(first_in_time), offer);
}

void run_queue::OfferRange(
    ranked_set& set, ranked_set::iterator position, ranked_set::iterator end,
    const std::function<bool(const waiting_task&)>& offer) {
  while (position != end) {
    position =
        offer(position->task) ? set.erase(position) : std::next(position);
  }
}

}  // namespace almond
