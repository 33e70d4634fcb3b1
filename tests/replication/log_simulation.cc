#include "replication/log_simulation.h"

#include <algorithm>

namespace almond {

log_simulation::log_simulation(std::uint64_t seed, std::size_t replicas,
                               std::size_t founders, std::size_t joining)
    : random_(seed) {
  replica_settings settings;
  settings.incarnation = kBootstrapIncarnation;
  settings.snapshot_after_entries = 25;
  settings.retained_entries = 5;
  settings.max_append_bytes = 1000;
  settings.chunk_bytes = 32;
  for (std::size_t i = 0; i < replicas; ++i) {
    settings.replicas.emplace_back(std::string(1, static_cast<char>('a' + i)));
  }
  const std::vector<replica_id> all = settings.replicas;
  settings.replicas.resize(replicas - joining);
  settings.founders = settings.replicas;
  if (founders != 0) settings.founders.resize(founders);
  if (joining != 0) settings.max_places = kMaxPlaces;
  for (const replica_id& id : all) {
    settings.self = id;
    if (replicas_.size() >= settings.founders.size()) {
      settings.incarnation = replica_incarnation(next_incarnation_++);
    }
    replicas_.push_back(std::make_unique<simulated_replica>(
        settings, random_, history_,
        [this](const replica_message& message) { Send(message); }));
    replicas_.back()->SetJoining(
        {all.begin() + static_cast<std::ptrdiff_t>(settings.replicas.size()),
         all.end()});
    replicas_.back()->Start(now_);
  }
}

bool log_simulation::Chance(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

int log_simulation::IndexOf(const replica_id& id) const {
  return id.Value()[0] - 'a';
}

void log_simulation::Send(const replica_message& message) {
  if (blocked_.count({IndexOf(message.from), IndexOf(message.to)}) != 0) return;
  if (Chance(rates_.drop)) return;
  const int copies = Chance(rates_.duplicate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    // Random delays also reorder messages.
    const std::uint64_t longest = Chance(rates_.long_delay) ? 3000 : 25;
    network_.emplace(now_ + milliseconds(1 + random_() % longest), message);
  }
}

void log_simulation::Step() {
  now_ += kStep;
  while (!network_.empty() && network_.begin()->first <= now_) {
    const replica_message message = std::move(network_.begin()->second);
    network_.erase(network_.begin());
    replicas_[IndexOf(message.to)]->Receive(message, now_);
  }
  for (const auto& replica : replicas_) replica->Step(now_);
}

void log_simulation::Run(milliseconds time, const fault_rates& rates) {
  rates_ = rates;
  const steady_time end = now_ + time;
  while (now_ < end) {
    InjectFaults(rates);
    IssueClientOperations();
    Step();
  }
  rates_ = fault_rates();
}

bool log_simulation::RunUntil(milliseconds limit,
                              const std::function<bool()>& condition) {
  const steady_time end = now_ + limit;
  while (!condition()) {
    if (now_ >= end) return false;
    Step();
  }
  return true;
}

bool log_simulation::Settle() {
  Unblock();
  for (const auto& replica : replicas_) {
    if (!replica->Running()) replica->Start(now_);
  }
  const std::size_t before = history_.CommittedProposals();
  const auto settled = [&] {
    const int leader = Leader();
    if (leader >= 0 && Chance(0.05)) Propose(leader);
    if (history_.CommittedProposals() == before) return false;
    const log_index last = history_.LastCommitted();
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
      if (replicas_[i]->Status().applied_index < last) return false;
      if (!Admitted(static_cast<int>(i))) return false;
    }
    return true;
  };
  const bool result = RunUntil(milliseconds(60000), settled);
  history_.Finish();
  return result;
}

int log_simulation::Leader() const {
  int leader = -1;
  log_term term = 0;
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    if (!replicas_[i]->Running()) continue;
    const replica_status status = replicas_[i]->Status();
    if (status.role == replica_role::leader && status.term > term) {
      leader = static_cast<int>(i);
      term = status.term;
    }
  }
  return leader;
}

bool log_simulation::Propose(int replica) {
  if (replica < 0 || !replicas_[replica]->Running()) return false;
  replicas_[replica]->Propose("c" + std::to_string(next_command_++));
  return true;
}

void log_simulation::Replace(int replica) {
  replicas_[replica]->Kill();
  replicas_[replica]->WipeDisk(replica_incarnation(next_incarnation_++));
  replicas_[replica]->Start(now_);
}

bool log_simulation::Admitted(int replica) const {
  const simulated_replica& subject = *replicas_[replica];
  return std::any_of(replicas_.begin(), replicas_.end(),
                     [&](const auto& other) {
                       if (!other->Running()) return false;
                       const replica_status status = other->Status();
                       const auto found = status.members.find(subject.Id());
                       return found != status.members.end() &&
                              found->second == subject.Incarnation();
                     });
}

std::size_t log_simulation::UnadmittedCount() const {
  std::size_t count = 0;
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    if (!Admitted(static_cast<int>(i))) ++count;
  }
  return count;
}

void log_simulation::KillOne(const fault_rates& rates) {
  const std::size_t victim = random_() % replicas_.size();
  replicas_[victim]->Kill();
  if (!Chance(rates.wipe)) return;
  // At most a minority of the replicas may be without an admitted disk at once.
  const std::size_t minority = (replicas_.size() - 1) / 2;
  const bool repairing = !Admitted(static_cast<int>(victim));
  if (UnadmittedCount() + (repairing ? 0 : 1) > minority) return;
  replicas_[victim]->WipeDisk(replica_incarnation(next_incarnation_++));
}

void log_simulation::Partition() {
  const int size = static_cast<int>(replicas_.size());
  const auto side = random_() % ((1U << replicas_.size()) - 2U) + 1;
  const auto directions = 1 + random_() % 3;
  for (int from = 0; from < size; ++from) {
    for (int to = 0; to < size; ++to) {
      const bool inside_from = (side >> static_cast<unsigned>(from) & 1U) != 0;
      const bool inside_to = (side >> static_cast<unsigned>(to) & 1U) != 0;
      if (inside_from == inside_to) continue;
      // A one-sided partition blocks one direction only.
      if ((directions >> (inside_from ? 0U : 1U) & 1U) != 0) Block(from, to);
    }
  }
}

void log_simulation::InjectFaults(const fault_rates& rates) {
  if (Chance(rates.kill)) KillOne(rates);
  if (Chance(rates.partition)) Partition();
  if (Chance(rates.heal)) Unblock();
  for (const auto& replica : replicas_) {
    if (!replica->Running() && Chance(rates.restart)) replica->Start(now_);
  }
}

void log_simulation::IssueClientOperations() {
  const std::size_t target = random_() % replicas_.size();
  if (!replicas_[target]->Running()) return;
  if (Chance(0.3)) Propose(static_cast<int>(target));
  if (Chance(0.2)) replicas_[target]->Read();
}

}  // namespace almond
