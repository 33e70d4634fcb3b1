#include "replication/log_history.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace almond {

log_history::state_digest log_history::Extend(state_digest state,
                                              const std::string& command) {
  if (command.empty()) return state;
  return (state ^ std::hash<std::string>{}(command)) * 0x9E3779B97F4A7C15ULL +
         1;
}

void log_history::AddViolation(const std::string& text) {
  // Later violations are mostly consequences of the first ones.
  if (violations_.size() < 5) violations_.push_back(text);
}

void log_history::OnLeader(log_term term, const std::string& replica) {
  const auto [found, added] = leaders_.emplace(term, replica);
  if (!added && found->second != replica) {
    AddViolation("term " + std::to_string(term) + " has the leaders " +
                 replica + " and " + found->second);
  }
}

void log_history::OnApplied(const committed_entry& entry, state_digest state) {
  if (entry.index == committed_.size() + 1) {
    committed_.push_back(entry.command);
    states_.push_back(state);
    return;
  }
  if (entry.index > committed_.size()) {
    AddViolation("entry " + std::to_string(entry.index) +
                 " applied after a gap");
  } else if (committed_[entry.index - 1] != entry.command) {
    AddViolation("entry " + std::to_string(entry.index) + " was '" +
                 committed_[entry.index - 1] + "', now '" + entry.command +
                 "'");
  } else if (states_[entry.index - 1] != state) {
    AddViolation("state after entry " + std::to_string(entry.index) +
                 " differs");
  }
}

void log_history::OnRestored(log_index index, state_digest state) {
  if (index == 0 || index > states_.size() || states_[index - 1] != state) {
    AddViolation("restored snapshot at " + std::to_string(index) +
                 " differs from the committed state");
  }
}

std::size_t log_history::BeginProposal(std::string command) {
  proposals_.push_back({std::move(command), last_observed_, false, 0});
  return proposals_.size() - 1;
}

void log_history::EndProposal(std::size_t number,
                              const proposal_result& result) {
  proposal& completed = proposals_[number];
  if (result.outcome == proposal_outcome::not_leader) completed.refused = true;
  if (result.outcome != proposal_outcome::committed) return;
  ++committed_proposals_;
  completed.acknowledged_index = std::stoull(result.result);
  if (completed.acknowledged_index <= completed.min_index) {
    AddViolation(completed.command + " committed before an earlier operation");
  }
  last_observed_ = std::max(last_observed_, completed.acknowledged_index);
}

std::size_t log_history::BeginRead() {
  min_read_indexes_.push_back(last_observed_);
  return min_read_indexes_.size() - 1;
}

void log_history::EndRead(std::size_t read, log_index applied) {
  if (applied < min_read_indexes_[read]) {
    AddViolation("read observed index " + std::to_string(applied) +
                 ", expected at least " +
                 std::to_string(min_read_indexes_[read]));
  }
  last_observed_ = std::max(last_observed_, applied);
}

void log_history::Finish() {
  std::map<std::string, log_index> positions;
  for (log_index index = 1; index <= committed_.size(); ++index) {
    const std::string& command = committed_[index - 1];
    if (command.empty()) continue;
    if (!positions.emplace(command, index).second) {
      AddViolation(command + " committed twice");
    }
  }
  for (const proposal& completed : proposals_) {
    const auto found = positions.find(completed.command);
    if (completed.refused && found != positions.end()) {
      AddViolation(completed.command +
                   " was answered not_leader but committed");
    }
    if (completed.acknowledged_index != 0 &&
        (found == positions.end() ||
         found->second != completed.acknowledged_index)) {
      AddViolation(completed.command +
                   " was acknowledged but is not in the log");
    }
  }
}

}  // namespace almond
