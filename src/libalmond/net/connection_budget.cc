#include "libalmond/net/connection_budget.h"

#include <utility>
#include <vector>

namespace almond {

std::string_view Name(input_refusal reason) {
  constexpr std::array<std::string_view, 5> kNames = {
      "connections", "memory", "overloaded", "slow", "unfinished"};
  return kNames.at(static_cast<std::size_t>(reason));
}

connection_budget::connection_budget(const clock_interface& clock,
                                     const input_limits& limits,
                                     refusal_hook on_refused)
    : clock_(clock), limits_(limits), on_refused_(std::move(on_refused)) {}

connection_budget::listener_number connection_budget::AddListener(
    listener_kind kind, close_hook close) {
  const auto highest = [&] {
    switch (kind) {
      case listener_kind::probe:
        return limits_.max_probe_connections;
      case listener_kind::peer:
        return limits_.max_peer_connections;
      case listener_kind::member:
        return limits_.max_member_connections;
      default:
        return limits_.max_connections;
    }
  };
  listeners_[++last_number_] = {highest(), 0, std::move(close)};
  return last_number_;
}

void connection_budget::RemoveListener(listener_number listener) {
  std::erase_if(connections_, [&](const auto& entry) {
    if (entry.second.owner != listener) return false;
    held_ -= entry.second.held;
    return true;
  });
  listeners_.erase(listener);
}

bool connection_budget::Full(listener_number listener) const {
  const auto& owner = listeners_.at(listener);
  return owner.connections >= owner.max_connections;
}

connection_budget::connection_number connection_budget::Add(
    listener_number listener) {
  ++listeners_.at(listener).connections;
  connection& added = connections_[++last_number_];
  added.owner = listener;
  added.progress = clock_.SteadyNow();
  return last_number_;
}

void connection_budget::Remove(connection_number number) {
  const auto found = connections_.find(number);
  if (found == connections_.end()) return;
  held_ -= found->second.held;
  --listeners_.at(found->second.owner).connections;
  connections_.erase(found);
}

connection_budget::connection* connection_budget::Find(
    connection_number number) {
  const auto found = connections_.find(number);
  return found == connections_.end() ? nullptr : &found->second;
}

void connection_budget::SetHeld(connection_number number, std::size_t held) {
  connection* changed = Find(number);
  if (changed == nullptr) return;
  held_ = held_ - changed->held + held;
  changed->held = held;
}

void connection_budget::OnReceiving(connection_number number) {
  connection* changed = Find(number);
  if (changed != nullptr) changed->receiving_since = clock_.SteadyNow();
}

void connection_budget::OnRequest(connection_number number) {
  connection* changed = Find(number);
  if (changed == nullptr) return;
  changed->in_progress = true;
  changed->receiving_since.reset();
}

void connection_budget::OnAnswer(connection_number number) {
  connection* changed = Find(number);
  if (changed != nullptr) changed->in_progress = false;
}

void connection_budget::OnSent(connection_number number) {
  connection* changed = Find(number);
  if (changed == nullptr) return;
  changed->answered = true;
  changed->progress = clock_.SteadyNow();
}

std::optional<connection_budget::connection_number>
connection_budget::LargestHolder() const {
  std::optional<connection_number> result;
  const connection* largest = nullptr;
  for (const auto& [number, candidate] : connections_) {
    if (candidate.in_progress || candidate.held == 0) continue;
    const bool better = largest == nullptr || candidate.held > largest->held ||
                        (candidate.held == largest->held &&
                         candidate.progress < largest->progress);
    if (!better) continue;
    largest = &candidate;
    result = number;
  }
  return result;
}

std::optional<connection_budget::connection_number>
connection_budget::LeastUseful(listener_number owner) const {
  const steady_time now = clock_.SteadyNow();
  // A new client needs a round trip to send its request.
  const auto rank = [now](const connection& candidate) {
    if (candidate.answered) return 1;
    return now - candidate.progress >= kFirstRequestTimeout ? 0 : 2;
  };
  std::optional<connection_number> result;
  const connection* worst = nullptr;
  for (const auto& [number, candidate] : connections_) {
    if (candidate.owner != owner || candidate.in_progress) continue;
    if (worst != nullptr &&
        std::pair(rank(*worst), worst->progress) <=
            std::pair(rank(candidate), candidate.progress)) {
      continue;
    }
    worst = &candidate;
    result = number;
  }
  return result;
}

bool connection_budget::Close(std::optional<connection_number> chosen,
                              input_refusal reason) {
  if (!chosen) return false;
  on_refused_(reason);
  listeners_.at(connections_.at(*chosen).owner).close(*chosen);
  Remove(*chosen);
  return true;
}

void connection_budget::Enforce() {
  std::vector<listener_number> crowded;
  for (const auto& [number, owner] : listeners_) {
    if (owner.connections > owner.max_connections) crowded.push_back(number);
  }
  for (const listener_number number : crowded) {
    const listener_state& owner = listeners_.at(number);
    while (owner.connections > owner.max_connections &&
           Close(LeastUseful(number), input_refusal::connections)) {
    }
  }
  while (HoldsTooMuch() && Close(LargestHolder(), input_refusal::memory)) {
  }
}

void connection_budget::CloseOverdue() {
  const steady_time now = clock_.SteadyNow();
  std::vector<connection_number> overdue;
  for (const auto& [number, candidate] : connections_) {
    if (candidate.receiving_since &&
        now - *candidate.receiving_since > limits_.receive_timeout) {
      overdue.push_back(number);
    }
  }
  for (const connection_number number : overdue) {
    Close(number, input_refusal::slow);
  }
}

}  // namespace almond
