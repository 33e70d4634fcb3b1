#include "libalmond/controllers/control/process_directory.h"

#include <algorithm>

namespace almond {

process_directory::process_directory(const clock_interface& clock)
    : clock_(clock), wait_start_(clock.SteadyNow()) {}

void process_directory::RestartOwnerWait() { wait_start_ = clock_.SteadyNow(); }

void process_directory::Heartbeat(const heartbeat_message& heartbeat) {
  const key name{heartbeat.role, heartbeat.id};
  const auto known = processes_.find(name);
  if (known != processes_.end() && Live(known->second) &&
      heartbeat.incarnation < known->second.heartbeat.incarnation) {
    return;
  }
  processes_[name] = {heartbeat, clock_.SteadyNow()};
  if (heartbeat.role == process_role::entry) {
    HeardOwner({entry_id(heartbeat.id), heartbeat.incarnation});
  }
}

void process_directory::HeardOwner(const ledger_owner& owner) {
  owners_[owner] = clock_.SteadyNow();
}

void process_directory::Forget() {
  const steady_time now = clock_.SteadyNow();
  std::erase_if(processes_, [now](const auto& listed) {
    return now - listed.second.heard > kListedLimit;
  });
  std::erase_if(owners_, [now](const auto& listed) {
    return now - listed.second > kListedLimit;
  });
}

std::vector<entry_address> process_directory::LiveEntries() const {
  std::vector<entry_address> entries;
  for (const auto& [name, listed] : processes_) {
    const heartbeat_message& last = listed.heartbeat;
    if (last.role != process_role::entry || !Live(listed)) continue;
    entries.push_back({entry_id(last.id), last.incarnation, last.data_centre,
                       last.peer_address});
  }
  return entries;
}

std::vector<process_status> process_directory::Processes() const {
  std::vector<process_status> result;
  const steady_time now = clock_.SteadyNow();
  for (const auto& [name, listed] : processes_) {
    result.push_back({listed.heartbeat, now - listed.heard});
  }
  return result;
}

bool process_directory::OwnerDead(const ledger_owner& owner) const {
  const steady_time now = clock_.SteadyNow();
  if (now - wait_start_ < kOwnerLimit) return false;
  const process* entry = Entry(owner.entry);
  if (entry != nullptr && Live(*entry) &&
      owner.incarnation < entry->heartbeat.incarnation) {
    return true;
  }
  const auto heard = owners_.find(owner);
  return heard == owners_.end() || now - heard->second >= kOwnerLimit;
}

std::vector<ledger_owner> process_directory::Successors(
    const ledger_owner& owner) const {
  const process* dead = Entry(owner.entry);
  std::vector<ledger_owner> near;
  std::vector<ledger_owner> all;
  for (const auto& [name, listed] : processes_) {
    const heartbeat_message& last = listed.heartbeat;
    const ledger_owner candidate{entry_id(last.id), last.incarnation};
    if (last.role != process_role::entry || !Live(listed) || last.leaving ||
        candidate == owner) {
      continue;
    }
    all.push_back(candidate);
    if (dead != nullptr && last.data_centre == dead->heartbeat.data_centre) {
      near.push_back(candidate);
    }
  }
  return near.empty() ? all : near;
}

bool process_directory::Live(const process& listed) const {
  return clock_.SteadyNow() - listed.heard < kLiveLimit;
}

const process_directory::process* process_directory::Entry(
    const entry_id& entry) const {
  const auto known = processes_.find({process_role::entry, entry.Value()});
  return known == processes_.end() ? nullptr : &known->second;
}

}  // namespace almond
