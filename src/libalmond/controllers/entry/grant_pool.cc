#include "libalmond/controllers/entry/grant_pool.h"

#include <algorithm>

namespace almond {

void grant_pool::Add(link_id agent, grant_id grant, milliseconds lease) {
  const steady_time expiry = clock_.SteadyNow() + lease - kLeaseMargin;
  agents_[agent].push_back({grant, expiry});
  UpdateNextExpiry(expiry);
}

std::optional<held_grant> grant_pool::Take(
    const std::function<bool(link_id)>& fits, std::optional<link_id> avoid) {
  DropExpired();
  auto best = agents_.end();
  std::pair<bool, double> best_rank;
  for (auto candidate = agents_.begin(); candidate != agents_.end();
       ++candidate) {
    if (candidate->second.empty()) continue;
    const auto value = rank_(candidate->first, candidate->second.size());
    if (!value || !fits(candidate->first)) continue;
    const std::pair rank(candidate->first != avoid, *value);
    if (best != agents_.end() && rank <= best_rank) continue;
    best = candidate;
    best_rank = rank;
  }
  if (best == agents_.end()) return std::nullopt;
  const held_grant result{best->first, best->second.front().grant};
  best->second.pop_front();
  return result;
}

std::vector<grant_id> grant_pool::TakeForReturn(link_id agent,
                                                std::uint32_t count) {
  DropExpired();
  std::vector<grant_id> result;
  const auto position = agents_.find(agent);
  if (position == agents_.end()) return result;
  while (result.size() < count && !position->second.empty()) {
    result.push_back(position->second.back().grant);
    position->second.pop_back();
  }
  return result;
}

void grant_pool::Renew(link_id agent, milliseconds lease) {
  DropExpired();
  const auto position = agents_.find(agent);
  if (position == agents_.end()) return;
  const steady_time expiry = clock_.SteadyNow() + lease - kLeaseMargin;
  for (leased_grant& held : position->second) held.expiry = expiry;
  UpdateNextExpiry(expiry);
}

void grant_pool::RemoveAgent(link_id agent) { agents_.erase(agent); }

std::size_t grant_pool::CountOf(link_id agent) const {
  const auto position = agents_.find(agent);
  return position == agents_.end() ? 0 : position->second.size();
}

std::size_t grant_pool::size() {
  DropExpired();
  std::size_t total = 0;
  for (const auto& [agent, grants] : agents_) total += grants.size();
  return total;
}

void grant_pool::DropExpired() {
  const steady_time now = clock_.SteadyNow();
  if (now < next_expiry_) return;
  next_expiry_ = steady_time::max();
  for (auto& [agent, grants] : agents_) {
    while (!grants.empty() && grants.front().expiry <= now) grants.pop_front();
    if (!grants.empty()) UpdateNextExpiry(grants.front().expiry);
  }
}

}  // namespace almond
