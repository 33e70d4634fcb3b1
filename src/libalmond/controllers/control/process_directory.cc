#include "libalmond/controllers/control/process_directory.h"

#include <algorithm>

namespace almond {

process_directory::process_directory(const clock_interface& clock)
    : clock_(clock), grace_start_(clock.SteadyNow()) {}

void process_directory::RestartGracePeriod() {
  grace_start_ = clock_.SteadyNow();
}

void process_directory::RecordHeartbeat(const heartbeat_message& heartbeat) {
  const key name{heartbeat.role, heartbeat.id};
  const auto known = processes_.find(name);
  if (known != processes_.end() && IsLive(known->second) &&
      heartbeat.incarnation < known->second.heartbeat.incarnation) {
    return;
  }
  processes_[name] = {heartbeat, clock_.SteadyNow()};
  if (heartbeat.role == process_role::entry) {
    RecordOwnerContact({entry_id(heartbeat.id), heartbeat.incarnation});
  }
}

void process_directory::RecordOwnerContact(const ledger_owner& owner) {
  owners_[owner] = clock_.SteadyNow();
}

void process_directory::RemoveExpired() {
  const steady_time now = clock_.SteadyNow();
  std::erase_if(processes_, [now](const auto& listed) {
    return now - listed.second.received_at > kRetentionPeriod;
  });
  std::erase_if(owners_, [now](const auto& listed) {
    return now - listed.second > kRetentionPeriod;
  });
}

std::vector<entry_address> process_directory::LiveEntries() const {
  std::vector<entry_address> entries;
  for (const auto& [name, listed] : processes_) {
    const heartbeat_message& last = listed.heartbeat;
    if (last.role != process_role::entry || !IsLive(listed)) continue;
    entries.push_back({entry_id(last.id), last.incarnation, last.data_centre,
                       last.peer_address});
  }
  return entries;
}

std::vector<process_status> process_directory::Processes() const {
  std::vector<process_status> result;
  const steady_time now = clock_.SteadyNow();
  for (const auto& [name, listed] : processes_) {
    result.push_back({listed.heartbeat, now - listed.received_at});
  }
  return result;
}

bool process_directory::IsOwnerDead(const ledger_owner& owner) const {
  const steady_time now = clock_.SteadyNow();
  if (now - grace_start_ < kOwnerTimeout) return false;
  const process* entry = FindEntry(owner.entry);
  if (entry != nullptr && IsLive(*entry) &&
      owner.incarnation < entry->heartbeat.incarnation) {
    return true;
  }
  const auto last_contact = owners_.find(owner);
  return last_contact == owners_.end() ||
         now - last_contact->second >= kOwnerTimeout;
}

std::vector<ledger_owner> process_directory::Successors(
    const ledger_owner& owner) const {
  const process* dead = FindEntry(owner.entry);
  std::vector<ledger_owner> same_data_centre;
  std::vector<ledger_owner> all;
  for (const auto& [name, listed] : processes_) {
    const heartbeat_message& last = listed.heartbeat;
    const ledger_owner candidate{entry_id(last.id), last.incarnation};
    if (last.role != process_role::entry || !IsLive(listed) || last.leaving ||
        candidate == owner) {
      continue;
    }
    all.push_back(candidate);
    if (dead != nullptr && last.data_centre == dead->heartbeat.data_centre) {
      same_data_centre.push_back(candidate);
    }
  }
  return same_data_centre.empty() ? all : same_data_centre;
}

bool process_directory::IsLive(const process& listed) const {
  return clock_.SteadyNow() - listed.received_at < kLivenessTimeout;
}

const process_directory::process* process_directory::FindEntry(
    const entry_id& entry) const {
  const auto known = processes_.find({process_role::entry, entry.Value()});
  return known == processes_.end() ? nullptr : &known->second;
}

}  // namespace almond
