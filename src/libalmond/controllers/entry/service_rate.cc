#include "libalmond/controllers/entry/service_rate.h"

#include <algorithm>
#include <numeric>

namespace almond {
namespace {

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

service_rate::bucket& service_rate::CurrentBucket(steady_time now) {
  while (!buckets_.empty() && buckets_.front().start + kWindow <= now) {
    buckets_.pop_front();
  }
  if (buckets_.empty() || buckets_.back().start + kBucketWidth <= now) {
    buckets_.push_back({now, 0, duration(0)});
  }
  return buckets_.back();
}

void service_rate::AddCompletion(steady_time now, duration run_time) {
  // Without a backlog the rate of ends is limited by the arrivals and says
  // nothing about the capacity.
  if (backlogged_) ++CurrentBucket(now).completions;
  if (samples_.size() < kMaxSamples) {
    samples_.push_back(run_time);
  } else {
    samples_[next_sample_] = run_time;
  }
  next_sample_ = (next_sample_ + 1) % kMaxSamples;
}

void service_rate::SetBacklogged(steady_time now, bool backlogged) {
  if (backlogged_) CurrentBucket(now).backlogged_time += now - backlog_updated_;
  backlogged_ = backlogged;
  backlog_updated_ = now;
}

std::optional<double> service_rate::TasksPerSecond(steady_time now,
                                                   std::size_t slots) const {
  std::size_t completions = 0;
  duration backlogged_time{0};
  for (const bucket& part : buckets_) {
    if (part.start + kWindow <= now) continue;
    completions += part.completions;
    backlogged_time += part.backlogged_time;
  }
  if (backlogged_time >= kMinBackloggedTime && completions > 0) {
    return static_cast<double>(completions) / Seconds(backlogged_time);
  }
  if (samples_.empty() || slots == 0) return std::nullopt;
  const duration total =
      std::accumulate(samples_.begin(), samples_.end(), duration(0));
  if (total <= duration(0)) return std::nullopt;
  return static_cast<double>(slots * samples_.size()) / Seconds(total);
}

duration service_rate::RunTimeP90() const {
  if (samples_.empty()) return duration(0);
  std::vector<duration> sorted = samples_;
  const auto position =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * 9 / 10);
  std::nth_element(sorted.begin(), position, sorted.end());
  return *position;
}

}  // namespace almond
