#ifndef ALMOND_CONTROLLERS_CONTROL_CONTROL_SERVICE_H_
#define ALMOND_CONTROLLERS_CONTROL_CONTROL_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "libalmond/config/config_loader.h"
#include "libalmond/controllers/control/control_command.h"
#include "libalmond/controllers/control/control_state_machine.h"
#include "libalmond/controllers/control/process_directory.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/control_messages.h"
#include "libalmond/core/metrics.h"
#include "libalmond/replication/replica_results.h"

namespace almond {

/// A change that was not proposed since its document has faults.
struct change_invalid {
  std::vector<config_error> errors;
};
/// A change that was not proposed since this replica is not the leader.
struct change_not_leader {};
/// A change that may have been accepted; a resend with the same id tells.
struct change_unknown {};

/// Answer to an operator's change.
using change_answer = std::variant<change_result, change_invalid,
                                   change_not_leader, change_unknown>;

/// Serves processes and operators on the control leader. Replies come through
/// hooks, each called at most once.
class control_service {
 public:
  /// Time after which an operator's change is answered as unknown.
  static constexpr milliseconds kChangeTimeout{5000};
  /// Period of Tick.
  static constexpr milliseconds kTickPeriod{500};
  /// A longer time between ticks means that the process did not run, and that
  /// heartbeats may wait unread.
  static constexpr milliseconds kMaxTickGap{1500};
  /// Submissions of one dead owner taken over in one tick; the others follow
  /// with the next tick.
  static constexpr std::size_t kMaxTakeovers = 4096;
  /// Submissions in one heartbeat reply, which bounds its size; the others
  /// follow when these have ended.
  static constexpr std::size_t kMaxReplyTakeovers = 1024;

  /// What the service needs from the replica and the loop.
  struct hooks {
    /// Proposes a command; calls back later, or not before a majority is back.
    std::function<void(std::string, proposal_hook)> propose;
    /// Confirms that a read is not stale; calls back later.
    std::function<void(read_hook)> confirm_read;
    std::function<bool()> is_leader;
    /// Address that processes dial at the leader; empty if not known.
    std::function<std::string()> leader_address;
    /// Calls back in the next iteration of the loop.
    std::function<void(std::function<void()>)> defer;
    /// Finds the faults of a configuration, see CheckDocument.
    std::function<std::vector<config_error>(const config_document&)> check;
  };
  using reply_hook = std::function<void(const control_reply&)>;
  using change_hook = std::function<void(const change_answer&)>;

  /// @param clock source of time; outlives the service
  /// @param machine the replicated state; outlives the service
  /// @param metrics receives almond_control_* metrics; outlives the service
  /// @param callbacks see hooks; all are needed
  control_service(const clock_interface& clock,
                  const control_state_machine& machine,
                  metrics_registry& metrics, hooks callbacks);

  /// Serves one request of a process.
  /// @param on_reply called with the reply; not called if none can be given,
  ///   and the process resends
  void Handle(const control_request& request, reply_hook on_reply);

  /// Checks and proposes an operator's change.
  /// @param change_id the same in each resend
  /// @param expected version that the change is based on
  /// @param on_answer called once
  void ChangeConfig(const uuid& change_id, config_version expected,
                    const config_document& document, change_hook on_answer);

  /// Proposes a configuration under the operator's own version, unless the
  /// newest one is not below it.
  /// @param config checked, with its digest
  /// @param on_answer called once
  void SetVersionedConfig(const versioned_config& config,
                          change_hook on_answer);

  /// Proposes that a replica has moved.
  /// @param on_end called with true once it is committed
  void ChangeReplicaAddress(const replica_address_change& move,
                            std::function<void(bool)> on_end);

  /// Calls back when the state may be read. All reads of one iteration of the
  /// loop share one confirmation.
  void Read(read_hook on_confirmed);

  /// To be called each kTickPeriod: takes submissions of dead owners over and
  /// ends changes that wait too long.
  void Tick();
  /// To be called after a change of leader.
  void UpdateLeadership();

  const process_directory& Directory() const { return directory_; }

 private:
  struct pending_change {
    steady_time deadline;
    change_hook on_answer;
  };

  void Serve(const heartbeat_message& message, const reply_hook& on_reply);
  void Serve(const fetch_config_message& message, const reply_hook& on_reply);
  void Serve(const ledger_claim_message& message, const reply_hook& on_reply);
  void Serve(const ledger_finish_message& message, const reply_hook& on_reply);
  void Serve(const ledger_read_message& message, const reply_hook& on_reply);
  not_leader_message NotLeader();
  /// Proposes the body; `on_result` gets nothing if it was not committed.
  template <typename Result>
  void ProposeFor(const control_command& command, const reply_hook& on_reply,
                  std::function<void(const Result&)> on_result);
  template <typename Body>
  control_command Command(Body body);
  void ProposeChange(const control_command& command, change_hook on_answer);
  void FlushReads();
  void EndChanges();
  void TakeOverDead();
  void TakeOver(const ledger_owner& owner,
                const std::vector<ledger_owner>& successors);
  void ProposeTakeover(const ledger_owner& successor,
                       std::vector<takeover_item> items);

  const clock_interface& clock_;
  const control_state_machine& machine_;
  hooks hooks_;
  process_directory directory_;
  bool leader_ = false;
  steady_time last_tick_;
  wall_time last_command_{};
  std::vector<read_hook> reads_;
  std::vector<std::shared_ptr<pending_change>> changes_;
  std::size_t takeovers_in_flight_ = 0;
  std::size_t next_successor_ = 0;
  counter& claims_;
  counter& not_leader_replies_;
  counter& takeovers_;
  counter& ledger_full_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_CONTROL_SERVICE_H_
