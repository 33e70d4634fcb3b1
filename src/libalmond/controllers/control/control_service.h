#ifndef ALMOND_CONTROLLERS_CONTROL_CONTROL_SERVICE_H_
#define ALMOND_CONTROLLERS_CONTROL_CONTROL_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libalmond/config/config_loader.h"
#include "libalmond/controllers/control/change_answer.h"
#include "libalmond/controllers/control/control_command.h"
#include "libalmond/controllers/control/control_state_machine.h"
#include "libalmond/controllers/control/evacuation_controller.h"
#include "libalmond/controllers/control/pending_answers.h"
#include "libalmond/controllers/control/process_directory.h"
#include "libalmond/controllers/control/waiting_heartbeats.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/control_messages.h"
#include "libalmond/core/metrics.h"
#include "libalmond/replication/replica_results.h"

namespace almond {

/// Serves requests of processes and operators on the control leader and takes
/// over submissions of dead entries. Replies are passed to hooks, each of which
/// is called at most once.
class control_service {
 public:
  /// Time after which an operator's change is answered with
  /// change_outcome_unknown.
  static constexpr milliseconds kChangeTimeout{5000};
  /// Interval at which Tick must be called.
  static constexpr milliseconds kTickPeriod{500};
  /// A longer gap between ticks means that the process was suspended and that
  /// heartbeats may be waiting unread.
  static constexpr milliseconds kMaxTickGap{1500};
  /// Submissions of one dead owner that are taken over in one tick; the rest
  /// follow in the next tick.
  static constexpr std::size_t kMaxTakeoversPerTick = 4096;
  /// Submissions in one heartbeat reply, to bound its size; the rest follow
  /// once these have ended.
  static constexpr std::size_t kMaxTakeoversPerReply = 1024;

  /// Maximum age of a heartbeat that is answered again once the leader is
  /// known. Longer than the period at which clients without a leader repeat
  /// theirs.
  static constexpr milliseconds kMaxHeartbeatWait{250};
  /// Minimum time between updates of the list of entries at the agents, while
  /// a new leader hears from the entries for the first time.
  static constexpr milliseconds kMinListUpdatePeriod{50};
  /// Addition to that time for each agent, so that many agents do not receive
  /// long lists faster than by their own heartbeats.
  static constexpr std::chrono::microseconds kListUpdatePeriodPerAgent{100};

  /// Functions of the replica and the event loop that the service uses.
  struct hooks {
    /// Proposes a command. Calls back asynchronously and without a time limit:
    /// the outcome may come only once a majority is reachable again.
    std::function<void(std::string, proposal_hook)> propose;
    /// Confirms that a read is not stale; calls back asynchronously.
    std::function<void(read_hook)> confirm_read;
    /// @returns true if this replica is the leader and its state includes all
    ///   that was acknowledged by earlier leaders
    std::function<bool()> is_leader;
    /// Address at which processes reach the leader; empty if unknown, or if
    /// this replica will be one that fits `is_leader`.
    std::function<std::string()> leader_address;
    /// Calls back in the next iteration of the event loop.
    std::function<void(std::function<void()>)> defer;
    /// Validates a configuration, see CheckDocument.
    std::function<std::vector<config_error>(const config_document&)> check;
    /// @returns the data centres named by settings and configuration
    std::function<std::vector<data_centre_id>()> data_centres = [] {
      return std::vector<data_centre_id>();
    };
  };
  using reply_hook = std::function<void(const control_reply&)>;
  using change_hook = pending_answers<change_answer>::answer_hook;

  /// @param clock source of time; outlives the service
  /// @param machine the replicated state; outlives the service
  /// @param metrics receives almond_control_* metrics; outlives the service
  /// @param callbacks all must be set
  control_service(const clock_interface& clock,
                  const control_state_machine& machine,
                  metrics_registry& metrics, hooks callbacks);

  /// Handles one request of a process.
  /// @param on_reply called with the reply; not called if there is none, in
  ///   which case the process resends
  void Handle(const control_request& request, reply_hook on_reply);

  /// Validates and proposes an operator's change.
  /// @param change_id identical in every resend
  /// @param expected version that the change is based on
  /// @param on_answer called once
  void ChangeConfig(const uuid& change_id, config_version expected,
                    const config_document& document, change_hook on_answer);

  /// Proposes a configuration under a version assigned by the operator. If the
  /// newest version is not below it, answers `not_newer` without a proposal.
  /// @param config validated, with its digest
  /// @param on_answer called once
  void SetVersionedConfig(const versioned_config& config,
                          change_hook on_answer);

  /// Evacuates a data centre or takes it back, see evacuation_controller.
  /// @param on_answer called once
  void ChangeEvacuation(const evacuation_change& change,
                        evacuation_controller::answer_hook on_answer);

  /// Proposes new addresses of a replica.
  /// @param on_end called with true once they are committed, otherwise with
  ///   false; after false they may still be committed later
  void ChangeReplicaAddress(const replica_address_change& change,
                            std::function<void(bool)> on_end);

  /// Proposes that a process takes over a replica's place.
  /// @param on_end called with the decision once it is committed, otherwise
  ///   with nothing; the claim may still be accepted later then
  void ClaimReplica(const replica_claim& claim,
                    std::function<void(std::optional<bool>)> on_end);

  /// Calls back with true once the state may be read without being stale, or
  /// with false if this replica is not the leader. All reads of one loop
  /// iteration share one confirmation.
  void Read(read_hook on_confirmed);

  /// To be called every kTickPeriod. Takes over submissions of dead owners and
  /// answers changes that have reached kChangeTimeout.
  void Tick();
  /// To be called after a leader change. Answers the processes that wait for a
  /// leader.
  void UpdateLeadership();

  const process_directory& Directory() const { return directory_; }

 private:
  void Serve(const heartbeat_message& message, const reply_hook& on_reply);
  void Serve(const fetch_config_message& message, const reply_hook& on_reply);
  void Serve(const ledger_claim_message& message, const reply_hook& on_reply);
  void Serve(const ledger_finish_message& message, const reply_hook& on_reply);
  void Serve(const ledger_read_message& message, const reply_hook& on_reply);
  heartbeat_reply_message MakeHeartbeatReply(const heartbeat_message& message);
  void AnswerWaiting();
  /// Sends the list of entries to the agents that have an older one.
  void UpdateLists();
  not_leader_message MakeNotLeaderReply();
  /// Proposes a command and calls `on_result` once it is committed; otherwise
  /// replies that this replica is not the leader.
  template <typename Result>
  void ProposeAndReply(const control_command& command,
                       const reply_hook& on_reply,
                       std::function<void(const Result&)> on_result);
  template <typename Body>
  control_command MakeCommand(Body body);
  void ProposeChange(const control_command& command, change_hook on_answer);
  evacuation_controller::hooks EvacuationHooks();
  void ConfirmReads();
  void TakeOverFromDeadOwners();
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
  wall_time last_command_time_{};
  waiting_heartbeats leaderless_;  ///< until a leader is known
  waiting_heartbeats list_users_;  ///< agents, until all entries are known
  steady_time last_list_update_;
  std::uint64_t listed_digest_ = 0;  ///< that all of `list_users_` have
  std::vector<read_hook> pending_reads_;
  pending_answers<change_answer> pending_changes_;
  evacuation_controller evacuations_;
  std::size_t takeovers_in_flight_ = 0;
  std::size_t next_successor_ = 0;
  counter& claims_;
  counter& not_leader_replies_;
  counter& takeovers_;
  counter& ledger_full_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_CONTROL_SERVICE_H_
