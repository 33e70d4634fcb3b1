#include "libalmond/controllers/entry/endpoint_pool.h"

#include <algorithm>
#include <cmath>

namespace almond {
namespace {

/// @returns the mean on a logarithmic scale, since estimates are wrong by
///   factors
double Average(double earlier, double newest) {
  constexpr double kWeight = endpoint_pool::kSlownessWeight;
  return std::exp((1 - kWeight) * std::log(earlier) +
                  kWeight * std::log(newest));
}

}  // namespace

endpoint_pool::endpoint_pool(const clock_interface& clock,
                             std::mt19937_64& random,
                             data_centre_id own_data_centre)
    : clock_(clock),
      random_(random),
      own_data_centre_(std::move(own_data_centre)) {}

void endpoint_pool::Update(link_id link, const endpoint_state& state) {
  const auto [found, added] =
      endpoints_.try_emplace(endpoint_key{link, state.endpoint});
  endpoint_record& endpoint = found->second;
  if (added) {
    const auto learned = slowness_.find(state.endpoint);
    if (learned != slowness_.end()) endpoint.slowness = learned->second;
  }
  // Failures of a cold endpoint say nothing about the time after it.
  const bool was_cold = endpoint.state.cold_left > milliseconds(0);
  if (was_cold && state.cold_left == milliseconds(0)) endpoint.failure_rate = 0;
  endpoint.cold_until = clock_.SteadyNow() + state.cold_left;
  endpoint.state = state;
  while (!endpoint.unreported.empty() &&
         endpoint.unreported.front().order <= state.orders_seen) {
    endpoint.unreported.pop_front();
  }
}

void endpoint_pool::RemoveLink(link_id link) {
  std::erase_if(endpoints_,
                [link](const auto& entry) { return entry.first.link == link; });
  last_order_.erase(link);
}

std::optional<endpoint_key> endpoint_pool::ChooseEndpoint(
    const placement_request& request) {
  return ChooseBest(request, false);
}

std::optional<endpoint_key> endpoint_pool::ChooseWaitingPlace(
    const placement_request& request) {
  return ChooseBest(request, true);
}

std::optional<endpoint_key> endpoint_pool::ChooseBest(
    const placement_request& request, bool may_wait) {
  std::uniform_real_distribution<double> jitter(1 - kJitterRatio,
                                                1 + kJitterRatio);
  const bool avoid = MayAvoidSuspects(request.service);
  std::optional<endpoint_key> best;
  double best_time = 0;
  bool best_avoided = false;
  for (auto& [key, endpoint] : endpoints_) {
    if (endpoint.state.service != request.service || !Accepts(endpoint)) {
      continue;
    }
    if (may_wait ? !MayQueueAt(endpoint, request)
                 : !UnusedResources(endpoint).Covers(request.needed)) {
      continue;
    }
    const bool suspect = avoid && IsSuspect(endpoint);
    const bool probe_due =
        !endpoint.last_probe ||
        clock_.SteadyNow() - *endpoint.last_probe >= kProbePeriod;
    if (suspect && !probe_due) continue;
    const bool avoided =
        std::find(request.failed_at.begin(), request.failed_at.end(),
                  key.endpoint) != request.failed_at.end();
    const double time = ExpectedTime(endpoint, request) * jitter(random_);
    // A suspect endpoint is probed only by a task that has no better endpoint.
    const bool worse = avoided || suspect;
    if (!best || (best_avoided && !worse) ||
        (best_avoided == worse && time < best_time)) {
      best = key;
      best_time = time;
      best_avoided = worse;
    }
  }
  return best;
}

std::pair<std::uint64_t, agent_timestamp> endpoint_pool::RecordPlacement(
    const endpoint_key& key, const run_key& run, const resources& needed,
    milliseconds estimate) {
  endpoint_record& endpoint = endpoints_.at(key);
  if (IsSuspect(endpoint)) endpoint.last_probe = clock_.SteadyNow();
  const std::uint64_t order = ++last_order_[key.link];
  endpoint.unreported.push_back({order, needed});
  endpoint.runs[run] = {clock_.SteadyNow(), estimate, IsCold(endpoint)};
  return {order, endpoint.state.timestamp};
}

void endpoint_pool::OnRunEnd(const endpoint_key& key, const run_end& end) {
  const auto found = endpoints_.find(key);
  if (found == endpoints_.end()) return;
  endpoint_record& endpoint = found->second;
  const auto run = endpoint.runs.find(end.key);
  if (run == endpoint.runs.end()) return;
  const placed_run placed = run->second;
  endpoint.runs.erase(run);
  if (end.kind == run_end_kind::done) {
    const double ratio = static_cast<double>(end.ran.count() + 1) /
                         static_cast<double>(placed.estimate.count() + 1);
    // Bounded, since a single straggler says little about its endpoint.
    const double bounded = std::clamp(ratio, 0.25, 8.0);
    if (placed.cold) {
      cold_factor_ =
          std::max(1.0, Average(cold_factor_, bounded / endpoint.slowness));
    } else {
      endpoint.slowness = Average(endpoint.slowness, bounded);
      slowness_[key.endpoint] = endpoint.slowness;
    }
    endpoint.failure_rate *= 1 - kFailureWeight;
  } else if (end.kind == run_end_kind::failed) {
    RecordFault(key);
  }
}

void endpoint_pool::RecordFault(const endpoint_key& key) {
  const auto found = endpoints_.find(key);
  if (found == endpoints_.end()) return;
  endpoint_record& endpoint = found->second;
  endpoint.failure_rate += (1 - endpoint.failure_rate) * kFailureWeight;
}

bool endpoint_pool::FitsWhenIdle(const service_id& service,
                                 const resources& needed) const {
  return std::any_of(
      endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
        const endpoint_state& state = entry.second.state;
        return state.service == service && state.total.Covers(needed);
      });
}

bool endpoint_pool::FitsOutsideEvacuated(const service_id& service,
                                         const resources& needed) const {
  return std::any_of(
      endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
        const endpoint_state& state = entry.second.state;
        return state.service == service && state.total.Covers(needed) &&
               !evacuations_.Contains(state.data_centre);
      });
}

bool endpoint_pool::IsEvacuated(const endpoint_key& key) const {
  const auto found = endpoints_.find(key);
  return found != endpoints_.end() &&
         evacuations_.Contains(found->second.state.data_centre);
}

bool endpoint_pool::HasEndpoint(const service_id& service) const {
  return std::any_of(
      endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
        return entry.second.state.service == service && Accepts(entry.second);
      });
}

std::int64_t endpoint_pool::TotalCpu(const service_id& service) const {
  std::int64_t total = 0;
  for (const auto& [key, endpoint] : endpoints_) {
    if (endpoint.state.service == service && Accepts(endpoint)) {
      total += endpoint.state.total.cpu_milli;
    }
  }
  return total;
}

std::int64_t endpoint_pool::UnusedCpu(const service_id& service) const {
  std::int64_t unused = 0;
  for (const auto& [key, endpoint] : endpoints_) {
    if (endpoint.state.service == service && Accepts(endpoint)) {
      unused += std::max<std::int64_t>(0, UnusedResources(endpoint).cpu_milli);
    }
  }
  return unused;
}

resources endpoint_pool::UnusedResources(
    const endpoint_record& endpoint) const {
  resources unused = endpoint.state.unused;
  for (const sent_order& sent : endpoint.unreported) unused -= sent.needed;
  return unused;
}

bool endpoint_pool::MayQueueAt(const endpoint_record& endpoint,
                               const placement_request& request) const {
  const endpoint_state& state = endpoint.state;
  const bool overtakes =
      state.waiting > 0 && request.priority < state.waiting_priority;
  return endpoint.unreported.empty() && (state.waiting == 0 || overtakes) &&
         state.total.Covers(request.needed);
}

bool endpoint_pool::MayAvoidSuspects(const service_id& service) const {
  std::size_t known = 0;
  std::size_t suspects = 0;
  for (const auto& [key, endpoint] : endpoints_) {
    if (endpoint.state.service != service || !Accepts(endpoint)) continue;
    ++known;
    if (IsSuspect(endpoint)) ++suspects;
  }
  return static_cast<double>(suspects) <=
         kMaxAvoidedRatio * static_cast<double>(known);
}

bool endpoint_pool::IsSuspect(const endpoint_record& endpoint) const {
  if (endpoint.failure_rate > kMaxFailureRatio) return true;
  const steady_time now = clock_.SteadyNow();
  const auto overdue = static_cast<std::size_t>(std::count_if(
      endpoint.runs.begin(), endpoint.runs.end(),
      [now, this](const auto& entry) {
        const placed_run& run = entry.second;
        return now - run.placed >
               run.estimate * (kOverdueFactor * (run.cold ? cold_factor_ : 1));
      }));
  return overdue >= kMinOverdue &&
         static_cast<double>(overdue) >
             kMaxOverdueRatio * static_cast<double>(endpoint.runs.size());
}

double endpoint_pool::ExpectedTime(const endpoint_record& endpoint,
                                   const placement_request& request) const {
  const double remote = endpoint.state.data_centre == own_data_centre_
                            ? 0
                            : static_cast<double>(kRemoteRoundTrip.count());
  // Missing resources become free as runs end.
  const std::int64_t missing = std::max<std::int64_t>(
      0, request.needed.cpu_milli - UnusedResources(endpoint).cpu_milli);
  const double wait = static_cast<double>(kTurnoverTime.count() * missing) /
                      static_cast<double>(endpoint.state.total.cpu_milli + 1);
  const double slowness =
      endpoint.slowness * (IsCold(endpoint) ? cold_factor_ : 1);
  return static_cast<double>(request.estimate.count()) * slowness + remote +
         wait;
}

}  // namespace almond
