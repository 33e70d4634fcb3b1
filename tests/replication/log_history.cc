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

void log_history::Fault(const std::string& text) {
  // The first faults tell the most.
  if (faults_.size() < 5) faults_.push_back(text);
}

void log_history::OnLeader(log_term term, const std::string& replica) {
  const auto [found, added] = leaders_.emplace(term, replica);
  if (!added && found->second != replica) {
    Fault("term " + std::to_string(term) + " has the leaders " + replica +
          " and " + found->second);
  }
}

void log_history::OnApplied(const committed_entry& entry, state_digest state) {
  if (entry.index == committed_.size() + 1) {
    committed_.push_back(entry.command);
    states_.push_back(state);
    return;
  }
  if (entry.index > committed_.size()) {
    Fault("entry " + std::to_string(entry.index) + " applied after a gap");
  } else if (committed_[entry.index - 1] != entry.command) {
    Fault("entry " + std::to_string(entry.index) + " was '" +
          committed_[entry.index - 1] + "' and is '" + entry.command + "'");
  } else if (states_[entry.index - 1] != state) {
    Fault("state at " + std::to_string(entry.index) + " differs");
  }
}

void log_history::OnRestored(log_index index, state_digest state) {
  if (index == 0 || index > states_.size() || states_[index - 1] != state) {
    Fault("snapshot at " + std::to_string(index) + " differs");
  }
}

std::size_t log_history::BeginProposal(std::string command) {
  proposals_.push_back({std::move(command), observed_, false, 0});
  return proposals_.size() - 1;
}

void log_history::EndProposal(std::size_t number,
                              const proposal_result& result) {
  proposal& ended = proposals_[number];
  if (result.outcome == proposal_outcome::not_leader) ended.refused = true;
  if (result.outcome != proposal_outcome::committed) return;
  ++committed_proposals_;
  ended.answered = std::stoull(result.result);
  if (ended.answered <= ended.floor) {
    Fault(ended.command + " committed before an earlier operation");
  }
  observed_ = std::max(observed_, ended.answered);
}

std::size_t log_history::BeginRead() {
  read_floors_.push_back(observed_);
  return read_floors_.size() - 1;
}

void log_history::EndRead(std::size_t read, log_index applied) {
  if (applied < read_floors_[read]) {
    Fault("read saw " + std::to_string(applied) + " and not " +
          std::to_string(read_floors_[read]));
  }
  observed_ = std::max(observed_, applied);
}

void log_history::Finish() {
  std::map<std::string, log_index> positions;
  for (log_index index = 1; index <= committed_.size(); ++index) {
    const std::string& command = committed_[index - 1];
    if (command.empty()) continue;
    if (!positions.emplace(command, index).second) {
      Fault(command + " committed twice");
    }
  }
  for (const proposal& ended : proposals_) {
    const auto found = positions.find(ended.command);
    if (ended.refused && found != positions.end()) {
      Fault(ended.command + " was answered not_leader but committed");
    }
    if (ended.answered != 0 &&
        (found == positions.end() || found->second != ended.answered)) {
      Fault(ended.command + " was acknowledged but is not in the log");
    }
  }
}

}  // namespace almond
