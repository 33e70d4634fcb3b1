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

/// Records what the replicas of one run commit, answer and read, and finds
/// contradictions.
class log_history {
 public:
  /// Digest of the commands up to an index.
  using state_digest = std::uint64_t;

  static state_digest Extend(state_digest state, const std::string& command);

  void OnLeader(log_term term, const std::string& replica);
  /// A replica has applied an entry and has this state now.
  void OnApplied(const committed_entry& entry, state_digest state);
  /// A replica has taken over a snapshot.
  void OnRestored(log_index index, state_digest state);

  /// @returns a number for the operation, for its end
  std::size_t BeginProposal(std::string command);
  void EndProposal(std::size_t proposal, const proposal_result& result);
  std::size_t BeginRead();
  void EndRead(std::size_t read, log_index applied);

  /// Checks what can be judged only after the run.
  void Finish();

  log_index LastCommitted() const { return committed_.size(); }
  std::size_t CommittedProposals() const { return committed_proposals_; }
  /// @returns contradictions found; empty for a correct history
  const std::vector<std::string>& Faults() const { return faults_; }

 private:
  struct proposal {
    std::string command;
    log_index floor = 0;
    bool refused = false;
    log_index answered = 0;
  };
  void Fault(const std::string& text);

  std::vector<std::string> committed_;
  std::vector<state_digest> states_;
  std::map<log_term, std::string> leaders_;
  std::vector<proposal> proposals_;
  std::vector<log_index> read_floors_;
  // Largest index that an ended operation has seen: later operations must not
  // see less.
  log_index observed_ = 0;
  std::size_t committed_proposals_ = 0;
  std::vector<std::string> faults_;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_LOG_HISTORY_H_
