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

void slot_controller::Revoke() {
  for (auto& [entry, state] : entries_) {
    state.grants.clear();
    state.recalled = 0;
  }
  leases_.clear();
  granted_ = 0;
}

void slot_controller::Reset() {
  Revoke();
  busy_ = 0;
}

void slot_controller::SetDemand(link_id entry, std::uint32_t backlog) {
  const auto position = entries_.find(entry);
  if (position == entries_.end()) return;
  position->second.demand = backlog;
  if (backlog == 0) position->second.overloaded = false;
}

void slot_controller::SetOverloaded(link_id entry, bool overloaded) {
  const auto position = entries_.find(entry);
  if (position != entries_.end()) position->second.overloaded = overloaded;
}

void slot_controller::HoldBack(link_id entry, steady_time until) {
  const auto position = entries_.find(entry);
  if (position != entries_.end()) position->second.held_until = until;
}

void slot_controller::ReturnGrants(link_id entry,
                                   const std::vector<grant_id>& grants) {
  const auto position = entries_.find(entry);
  if (position == entries_.end()) return;
  for (const grant_id grant : grants) {
    granted_ -=
        static_cast<std::uint32_t>(position->second.grants.erase(grant));
  }
  position->second.recalled = 0;
}

bool slot_controller::UseGrant(link_id entry, grant_id grant) {
  const auto position = entries_.find(entry);
  if (position == entries_.end()) return false;
  auto& grants = position->second.grants;
  const auto held = grants.find(grant);
  if (held == grants.end()) return false;
  const bool valid = held->second > clock_.SteadyNow() && busy_ < slots_;
  grants.erase(held);
  --granted_;
  if (valid) ++busy_;
  return valid;
}

void slot_controller::RenewLeases() {
  EndLeases();
  if (!granting_) return;
  const steady_time end = clock_.SteadyNow() + kLease;
  leases_.clear();
  for (auto& [entry, state] : entries_) {
    for (auto& [grant, lease_end] : state.grants) {
      lease_end = end;
      leases_.push_back({end, entry, grant});
    }
  }
}

slot_controller::actions slot_controller::Allocate(
    const std::vector<link_id>& answered, std::uint32_t grantable,
    std::uint32_t wanted) {
  EndLeases();
  actions result;
  if (!granting_) return result;
  auto preferred = answered.begin();
  std::uint32_t free = std::min(Free(), grantable);
  while (free > 0) {
    auto* next = NextEntry();
    if (next == nullptr) break;
    if (preferred != answered.end()) {
      const auto entry = entries_.find(*preferred++);
      if (entry != entries_.end() && MayGoBefore(entry->second, next->second)) {
        next = &*entry;
      }
    }
    Issue(*next, result);
    --free;
  }
  Recall(wanted, result);
  return result;
}

bool slot_controller::MayGoBefore(const entry_state& state,
                                  const entry_state& next) const {
  if (state.held_until > next.held_until) return false;
  if (Unmet(next) == 0) return state.grants.size() <= next.grants.size() + 1;
  // The next entry is passed over only if its last turn is recent.
  return Unmet(state) > 0 &&
         last_grant_.Value() - next.served < kTurns * entries_.size();
}

void slot_controller::Issue(entry_map::value_type& entry, actions& result) {
  const steady_time end = clock_.SteadyNow() + kLease;
  last_grant_ = last_grant_.Next();
  entry.second.grants.emplace(last_grant_, end);
  entry.second.served = last_grant_.Value();
  leases_.push_back({end, entry.first, last_grant_});
  ++granted_;
  for (grant_action& action : result.grants) {
    if (action.entry != entry.first) continue;
    action.grants.push_back(last_grant_);
    return;
  }
  result.grants.push_back({entry.first, {last_grant_}});
}

void slot_controller::EndLeases() {
  const steady_time now = clock_.SteadyNow();
  while (!leases_.empty() && leases_.front().end <= now) {
    const lease ended = leases_.front();
    leases_.pop_front();
    const auto position = entries_.find(ended.entry);
    if (position == entries_.end()) continue;
    if (position->second.grants.erase(ended.grant) == 0) continue;
    --granted_;
    if (position->second.recalled > 0) --position->second.recalled;
  }
}

std::uint32_t slot_controller::Unmet(const entry_state& state) {
  const auto held = static_cast<std::uint32_t>(state.grants.size());
  return state.demand > held ? state.demand - held : 0;
}

std::uint32_t slot_controller::Unmet() const {
  if (!granting_) return 0;
  std::uint64_t total = 0;
  const steady_time now = clock_.SteadyNow();
  for (const auto& [entry, state] : entries_) {
    if (state.held_until <= now) total += Unmet(state);
  }
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(total, UINT32_MAX));
}

std::uint32_t slot_controller::Idle() const {
  std::uint32_t total = 0;
  for (const auto& [entry, state] : entries_) {
    const auto held = static_cast<std::uint32_t>(state.grants.size());
    if (held > state.demand) total += held - state.demand;
  }
  return total;
}

std::uint32_t slot_controller::Free() const {
  return slots_ > busy_ + granted_ ? slots_ - busy_ - granted_ : 0;
}

bool slot_controller::Overloaded() const {
  return std::any_of(entries_.begin(), entries_.end(),
                     [](const auto& entry) { return entry.second.overloaded; });
}

slot_controller::entry_map::value_type* slot_controller::NextEntry() {
  // Entries with unmet demand take turns: by the size of the demand, a job of
  // hundreds of tasks at one entry would hold up single requests at another.
  // Without demand it is the entry with the fewest grants, so that idle slots
  // are spread evenly. Among equals it is the one served longest ago.
  const auto rank = [](const entry_state& state) {
    const bool waits = Unmet(state) > 0;
    const auto held = static_cast<std::int64_t>(state.grants.size());
    return std::tuple(waits, waits ? 0 : -held,
                      -static_cast<std::int64_t>(state.served));
  };
  const steady_time now = clock_.SteadyNow();
  entry_map::value_type* best = nullptr;
  for (auto& candidate : entries_) {
    if (candidate.second.held_until > now) continue;
    if (best == nullptr || rank(candidate.second) > rank(best->second)) {
      best = &candidate;
    }
  }
  return best;
}

void slot_controller::Recall(std::uint32_t wanted, actions& result) {
  std::uint32_t needed = wanted;
  const std::uint32_t unmet = Unmet();
  needed = unmet > UINT32_MAX - needed ? UINT32_MAX : needed + unmet;
  for (const auto& [entry, state] : entries_) {
    needed -= std::min(needed, state.recalled);
  }
  for (auto& [entry, state] : entries_) {
    const auto held = static_cast<std::uint32_t>(state.grants.size());
    const auto kept = std::min<std::uint64_t>(
        held, std::uint64_t{state.demand} + state.recalled);
    const std::uint32_t count = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(held - kept, needed));
    if (count == 0) continue;
    needed -= std::min(needed, count);
    state.recalled += count;
    result.recalls.push_back({entry, count});
  }
}

}  // namespace almond
