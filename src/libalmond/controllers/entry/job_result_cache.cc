#include "libalmond/controllers/entry/job_result_cache.h"

#include <utility>

namespace almond {

void job_result_cache::Add(const uuid& submission, std::string digest,
                           job_result answer) {
  if (entries_.count(submission) > 0) return;
  entry added{std::move(digest), std::move(answer), sizeof(entry)};
  if (const auto* complete = std::get_if<job_success>(&added.answer)) {
    for (const std::string& body : complete->bodies) added.bytes += body.size();
  }
  bytes_ += added.bytes;
  entries_.emplace(submission, std::move(added));
  order_.push_back({clock_.SteadyNow() + kRetentionPeriod, submission});
  while (entries_.size() > kMaxJobs || bytes_ > kMaxBytes) DropOldest();
}

const job_result_cache::entry* job_result_cache::Find(
    const uuid& submission) const {
  const auto found = entries_.find(submission);
  return found == entries_.end() ? nullptr : &found->second;
}

void job_result_cache::Expire() {
  const steady_time now = clock_.SteadyNow();
  while (!order_.empty() && order_.front().time <= now) DropOldest();
}

void job_result_cache::DropOldest() {
  const auto found = entries_.find(order_.front().submission);
  bytes_ -= found->second.bytes;
  entries_.erase(found);
  order_.pop_front();
}

}  // namespace almond
