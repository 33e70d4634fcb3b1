#include "libalmond/controllers/agent/slot_controller.h"

#include <algorithm>
#include <tuple>

namespace almond {

void slot_controller::AddEntry(link_id entry) { entries_[entry]; }

void slot_controller::RemoveEntry(link_id entry) {
  const auto position = entries_.find(entry);
  if (position == entries_.end()) return;
  granted_ -= static_cast<std::uint32_t>(position->second.grants.size());
  entries_.erase(position);
}

void slot_controller::SetDemand(link_id entry, std::uint32_t backlog) {
  const auto position = entries_.find(entry);
  if (position != entries_.end()) position->second.demand = backlog;
}

void slot_controller::Return(link_id entry,
                             const std::vector<grant_id>& grants) {
  const auto position = entries_.find(entry);
  if (position == entries_.end()) return;
  for (const grant_id grant : grants) {
    granted_ -=
        static_cast<std::uint32_t>(position->second.grants.erase(grant));
  }
  position->second.recalled = 0;
}

bool slot_controller::Use(link_id entry, grant_id grant) {
  const auto position = entries_.find(entry);
  if (position == entries_.end()) return false;
  auto& grants = position->second.grants;
  const auto held = grants.find(grant);
  if (held == grants.end()) return false;
  const bool valid = held->second > clock_.SteadyNow();
  grants.erase(held);
  --granted_;
  if (valid) ++busy_;
  return valid;
}

void slot_controller::Release() { --busy_; }

slot_controller::actions slot_controller::Allocate() {
  EndLeases();
  actions result;
  std::map<link_id, std::vector<grant_id>> issued;
  const steady_time end = clock_.SteadyNow() + kLease;
  while (busy_ + granted_ < slots_) {
    auto* next = NextEntry();
    if (next == nullptr) break;
    last_grant_ = last_grant_.Next();
    next->second.grants.emplace(last_grant_, end);
    ++granted_;
    issued[next->first].push_back(last_grant_);
  }
  for (auto& [entry, grants] : issued) {
    result.grants.push_back({entry, std::move(grants)});
  }
  RecallSurplus(result);
  return result;
}

void slot_controller::EndLeases() {
  const steady_time now = clock_.SteadyNow();
  for (auto& [entry, state] : entries_) {
    const std::size_t ended = std::erase_if(
        state.grants, [now](const auto& grant) { return grant.second <= now; });
    granted_ -= static_cast<std::uint32_t>(ended);
    if (ended > 0) state.recalled = 0;
  }
}

std::pair<const link_id, slot_controller::entry_state>*
slot_controller::NextEntry() {
  // The largest unmet demand comes first; without demand, the entry with the
  // fewest grants, so that idle slots are spread evenly.
  const auto rank = [](const entry_state& state) {
    const auto held = static_cast<std::int64_t>(state.grants.size());
    const std::int64_t unmet = std::int64_t{state.demand} - held;
    return std::tuple(std::max<std::int64_t>(unmet, 0), -held);
  };
  std::pair<const link_id, entry_state>* best = nullptr;
  for (auto& candidate : entries_) {
    if (best == nullptr || rank(candidate.second) > rank(best->second)) {
      best = &candidate;
    }
  }
  return best;
}

void slot_controller::RecallSurplus(actions& result) {
  if (slots_ == 0) return;
  std::uint32_t unmet = 0;
  for (const auto& [entry, state] : entries_) {
    const auto held = static_cast<std::uint32_t>(state.grants.size());
    if (state.demand > held) unmet += state.demand - held;
  }
  for (auto& [entry, state] : entries_) {
    const auto held = static_cast<std::uint32_t>(state.grants.size());
    const std::uint32_t kept = state.demand + state.recalled;
    if (unmet == 0 || held <= kept) continue;
    const std::uint32_t count = std::min(unmet, held - kept);
    state.recalled += count;
    unmet -= count;
    result.recalls.push_back({entry, count});
  }
}

}  // namespace almond
