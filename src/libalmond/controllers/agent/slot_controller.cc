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

void slot_controller::BackOff(link_id entry, steady_time until) {
  const auto position = entries_.find(entry);
  if (position != entries_.end()) position->second.backoff_end = until;
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
  ExpireLeases();
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
    const std::vector<link_id>& answered, std::uint32_t max_grants,
    std::uint32_t wanted_slots) {
  ExpireLeases();
  actions result;
  if (!granting_) return result;
  auto preferred = answered.begin();
  std::uint32_t free = std::min(FreeSlots(), max_grants);
  while (free > 0) {
    auto* next = NextEntry();
    if (next == nullptr) break;
    if (preferred != answered.end()) {
      const auto entry = entries_.find(*preferred++);
      if (entry != entries_.end() && MayPrecede(entry->second, next->second)) {
        next = &*entry;
      }
    }
    IssueGrant(*next, result);
    --free;
  }
  RecallGrants(wanted_slots, result);
  return result;
}

bool slot_controller::MayPrecede(const entry_state& state,
                                 const entry_state& next) const {
  if (state.backoff_end > next.backoff_end) return false;
  if (UnmetDemand(next) == 0) {
    return state.grants.size() <= next.grants.size() + 1;
  }
  // The next entry is passed over only if it was served recently.
  return UnmetDemand(state) > 0 &&
         last_grant_.Value() - next.last_served_grant <
             kGrantsPerTurn * entries_.size();
}

void slot_controller::IssueGrant(entry_map::value_type& entry,
                                 actions& result) {
  const steady_time end = clock_.SteadyNow() + kLease;
  last_grant_ = last_grant_.Next();
  entry.second.grants.emplace(last_grant_, end);
  entry.second.last_served_grant = last_grant_.Value();
  leases_.push_back({end, entry.first, last_grant_});
  ++granted_;
  for (grant_action& action : result.grants) {
    if (action.entry != entry.first) continue;
    action.grants.push_back(last_grant_);
    return;
  }
  result.grants.push_back({entry.first, {last_grant_}});
}

void slot_controller::ExpireLeases() {
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

std::uint32_t slot_controller::UnmetDemand(const entry_state& state) {
  const auto held = static_cast<std::uint32_t>(state.grants.size());
  return state.demand > held ? state.demand - held : 0;
}

std::uint32_t slot_controller::UnmetDemand() const {
  if (!granting_) return 0;
  std::uint64_t total = 0;
  const steady_time now = clock_.SteadyNow();
  for (const auto& [entry, state] : entries_) {
    if (state.backoff_end <= now) total += UnmetDemand(state);
  }
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(total, UINT32_MAX));
}

std::uint32_t slot_controller::IdleGrants() const {
  std::uint32_t total = 0;
  for (const auto& [entry, state] : entries_) {
    const auto held = static_cast<std::uint32_t>(state.grants.size());
    if (held > state.demand) total += held - state.demand;
  }
  return total;
}

std::uint32_t slot_controller::FreeSlots() const {
  return slots_ > busy_ + granted_ ? slots_ - busy_ - granted_ : 0;
}

bool slot_controller::Overloaded() const {
  return std::any_of(entries_.begin(), entries_.end(),
                     [](const auto& entry) { return entry.second.overloaded; });
}

slot_controller::entry_map::value_type* slot_controller::NextEntry() {
  // Entries with unmet demand are served in turn. If the size of the demand
  // decided, a job with hundreds of tasks at one entry would delay single
  // requests at another. Without unmet demand, the entry with the fewest grants
  // is next, so that idle slots are spread evenly. Ties go to the entry that
  // was served the longest time ago.
  const auto rank = [](const entry_state& state) {
    const bool waits = UnmetDemand(state) > 0;
    const auto held = static_cast<std::int64_t>(state.grants.size());
    return std::tuple(waits, waits ? 0 : -held,
                      -static_cast<std::int64_t>(state.last_served_grant));
  };
  const steady_time now = clock_.SteadyNow();
  entry_map::value_type* best = nullptr;
  for (auto& candidate : entries_) {
    if (candidate.second.backoff_end > now) continue;
    if (best == nullptr || rank(candidate.second) > rank(best->second)) {
      best = &candidate;
    }
  }
  return best;
}

void slot_controller::RecallGrants(std::uint32_t wanted_slots,
                                   actions& result) {
  std::uint32_t needed = wanted_slots;
  const std::uint32_t unmet = UnmetDemand();
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
