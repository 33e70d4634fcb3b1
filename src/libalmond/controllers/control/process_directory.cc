#include "libalmond/controllers/control/process_directory.h"

#include <algorithm>
#include <string>

#include "libalmond/core/digest.h"

namespace almond {
namespace {

/// @returns a number other than 0 that depends on all fields of the entries
std::uint64_t Digest(const std::vector<entry_address>& entries) {
  std::string fields;
  for (const entry_address& entry : entries) {
    fields += entry.entry.Value() + '\n' +
              std::to_string(entry.incarnation.Value()) + '\n' +
              entry.data_centre.Value() + '\n' + entry.peer_address + '\n';
  }
  constexpr std::size_t kHexDigits = 16;
  constexpr int kBase = 16;
  const std::string digest = Sha256({fields}).substr(0, kHexDigits);
  return std::max<std::uint64_t>(1, std::stoull(digest, nullptr, kBase));
}

/// @returns true if the heartbeats differ in what others are told
bool Differ(const heartbeat_message& left, const heartbeat_message& right) {
  return left.incarnation != right.incarnation ||
         left.data_centre != right.data_centre ||
         left.peer_address != right.peer_address ||
         left.endpoint_kind != right.endpoint_kind;
}

}  // namespace

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
  if (known == processes_.end() || !IsLive(known->second) ||
      Differ(heartbeat, known->second.heartbeat)) {
    live_determined_.reset();
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

const live_processes& process_directory::LiveProcesses() {
  const steady_time now = clock_.SteadyNow();
  if (live_determined_ && now - *live_determined_ < kLiveProcessesPeriod) {
    return live_;
  }
  live_determined_ = now;
  live_.entries = LiveEntries();
  live_.entries_digest = Digest(live_.entries);
  live_.agents_by_kind.clear();
  for (const auto& [name, listed] : processes_) {
    const std::string& kind = listed.heartbeat.endpoint_kind;
    if (!kind.empty() && IsLive(listed)) ++live_.agents_by_kind[kind];
  }
  return live_;
}

std::uint32_t process_directory::AlikeAgents(const std::string& endpoint_kind) {
  if (endpoint_kind.empty() || !IsComplete()) return 0;
  const auto& numbers = LiveProcesses().agents_by_kind;
  const auto found = numbers.find(endpoint_kind);
  return found == numbers.end() ? 0 : found->second;
}

bool process_directory::HasDataCentre(const data_centre_id& data_centre) const {
  return std::any_of(
      processes_.begin(), processes_.end(), [&data_centre](const auto& listed) {
        return listed.second.heartbeat.data_centre == data_centre;
      });
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
  if (InGracePeriod()) return false;
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
