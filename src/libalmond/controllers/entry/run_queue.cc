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
  const ranked_task first_in_time{now, {}};
  OfferInTime(first_in_time, offer);
  OfferRange(begun_, begun_.begin(), begun_.lower_bound(first_in_time), offer);
  OfferRange(fresh_, fresh_.begin(), fresh_.lower_bound(first_in_time), offer);
}

void run_queue::OfferInTime(
    const ranked_task& first,
    const std::function<bool(const waiting_task&)>& offer) {
  auto begun = begun_.lower_bound(first);
  auto fresh = fresh_.lower_bound(first);
  while (begun != begun_.end() || fresh != fresh_.end()) {
    const bool next_begun =
        fresh == fresh_.end() || (begun != begun_.end() && *begun < *fresh);
    ranked_set& set = next_begun ? begun_ : fresh_;
    auto& position = next_begun ? begun : fresh;
    position =
        offer(position->task) ? set.erase(position) : std::next(position);
  }
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
