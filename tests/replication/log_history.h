#ifndef ALMOND_REPLICATION_LOG_HISTORY_H_
#define ALMOND_REPLICATION_LOG_HISTORY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libalmond/replication/replica_output.h"
#include "libalmond/replication/replica_results.h"

namespace almond {

/// Records the entries committed and the proposals and reads answered in one
/// run, and checks that they are consistent.
class log_history {
 public:
  /// Digest of the commands up to an index.
  using state_digest = std::uint64_t;

  static state_digest Extend(state_digest state, const std::string& command);

  void OnLeader(log_term term, const std::string& replica);
  /// To be called when a replica has applied an entry.
  /// @param state the replica's state after the entry
  void OnApplied(const committed_entry& entry, state_digest state);
  /// To be called when a replica has restored a snapshot.
  void OnRestored(log_index index, state_digest state);

  /// @returns the number to be passed to EndProposal
  std::size_t BeginProposal(std::string command);
  void EndProposal(std::size_t proposal, const proposal_result& result);
  std::size_t BeginRead();
  void EndRead(std::size_t read, log_index applied);

  /// Runs the checks that need the complete history.
  void Finish();

  log_index LastCommitted() const { return committed_.size(); }
  std::size_t CommittedProposals() const { return committed_proposals_; }
  /// @returns the violations found, at most five; empty for a correct history
  const std::vector<std::string>& Violations() const { return violations_; }

 private:
  struct proposal {
    std::string command;
    log_index min_index = 0;
    bool refused = false;
    log_index acknowledged_index = 0;
  };
  void AddViolation(const std::string& text);

  std::vector<std::string> committed_;
  std::vector<state_digest> states_;
  std::map<log_term, std::string> leaders_;
  std::vector<proposal> proposals_;
  std::vector<log_index> min_read_indexes_;
  // Largest index observed by a completed operation; an operation that begins
  // later must not observe a smaller one.
  log_index last_observed_ = 0;
  std::size_t committed_proposals_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_LOG_HISTORY_H_
