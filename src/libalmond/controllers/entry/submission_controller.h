#ifndef ALMOND_CONTROLLERS_ENTRY_SUBMISSION_CONTROLLER_H_
#define ALMOND_CONTROLLERS_ENTRY_SUBMISSION_CONTROLLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "libalmond/controllers/entry/answer_collector.h"
#include "libalmond/controllers/entry/job_controller.h"
#include "libalmond/controllers/entry/job_result_cache.h"
#include "libalmond/core/control_messages.h"

namespace almond {

/// Access to the job ledger. Each hook answers once; with nothing if the
/// ledger did not answer in the hook's own time.
struct ledger_hooks {
  using claim_reply =
      std::function<void(const std::optional<ledger_claim_reply_message>&)>;
  using read_reply =
      std::function<void(const std::optional<ledger_read_reply_message>&)>;
  std::function<void(const ledger_claim_message&, claim_reply)> claim;
  /// Resent by the other side until it is stored or outdated.
  std::function<void(const ledger_finish_message&)> finish;
  std::function<void(const uuid&, read_reply)> read;
};

/// A submission with a caller's id.
struct named_submission {
  std::vector<task> tasks;
  std::string digest;
  steady_time deadline;
};

/// What became of a request to cancel a submission.
enum class cancel_outcome : std::uint8_t {
  cancelling,  ///< its tasks here are being stopped, or will not start
  not_here     ///< it does not run at this entry; nothing was done
};

/// @param tasks of one submission
/// @returns digest of service, kind, team, bodies and sizes
std::string SubmissionDigest(const std::vector<task>& tasks);

/// Owner of the named submissions that callers wait for at this entry: claims
/// them in the ledger before anything starts, joins callers of the same
/// submission, finds the answers of submissions that ended elsewhere, and ends
/// those of dead owners.
class submission_controller {
 public:
  using answer_hook = job_controller::answer_hook;
  using find_hook = std::function<void(const std::optional<job_result>&)>;
  /// Longest wait for the ledger's answer to a claim.
  static constexpr milliseconds kClaimTimeout{2000};
  static constexpr milliseconds kFirstPoll{200};
  static constexpr milliseconds kLongestPoll{2000};
  /// Time after a collection without all answers, for agents that reconnect.
  static constexpr milliseconds kCollectLimit{2000};
  /// Time for which claimed ids are remembered; longer than the ledger's
  /// window, so that no id is forgotten while it can be claimed.
  static constexpr std::chrono::minutes kRemember{12};
  /// Age of an id up to which its absence from the ledger proves that it was
  /// never accepted. One minute shorter than the ledger's window, since the
  /// clocks of the entry and the ledger may differ.
  static constexpr std::chrono::minutes kProvenAbsence{9};

  submission_controller(const clock_interface& clock,
                        dispatch_controller& dispatch, job_controller& jobs,
                        entry_id self, incarnation_id incarnation);

  /// Without hooks every named submission is refused `ledger-unavailable`.
  void SetLedger(ledger_hooks ledger) { ledger_ = std::move(ledger); }

  /// @param on_answer called once
  void Submit(named_submission submitted, answer_hook on_answer);
  /// Answers a named submission that this entry refuses. If the ledger knows
  /// the id, its record is followed without new work; if not, the refusal is
  /// true for the submission. Without an answer of the ledger, or with an id
  /// older than kProvenAbsence, the refusal's outcome is unknown.
  /// @param submitted an empty digest if the content could not be completed;
  ///   a record then gives the refusal with outcome unknown
  /// @param cause why this request is refused
  /// @param on_answer called once
  void RefuseUnlessRecorded(named_submission submitted, refusal cause,
                            answer_hook on_answer);
  /// Ends a submission whose owner died. Nothing is started for it.
  void TakeOver(const ledger_record& record);
  /// Cancels a submission that runs here, or whose claim is under way.
  cancel_outcome Cancel(const uuid& submission);

  /// Finds the state of a submission.
  /// @param on_answer called once with the answer, or with nothing while the
  ///   submission runs; `unknown-job` if there is none
  void Find(const uuid& id, find_hook on_answer);

  /// @returns true if a resubmission needs no new work at this entry
  bool HasSubmission(const uuid& id) const {
    return active_.count(id) > 0 || ended_.Find(id) != nullptr;
  }

  /// Polls and ends waits; to be called some times a second.
  void Tick();
  std::size_t size() const { return active_.size(); }

 private:
  enum class phase : std::uint8_t {
    claiming,    ///< the ledger has been asked
    looking_up,  ///< refused here; the ledger is asked for an earlier run
    running,     ///< the tasks run at this entry
    elsewhere,   ///< another entry runs it; the ledger is polled
    collecting,  ///< it is complete; agents are asked for the answers
    ending       ///< taken over from a dead owner
  };
  struct waiter {
    steady_time deadline;
    answer_hook on_answer;
  };
  struct active_submission {
    std::uint64_t attempt = 0;  ///< binds callbacks to this record
    phase state = phase::claiming;
    bool first_claim = true;
    bool cancelled = false;  ///< while claiming
    refusal cause;           ///< while looking up: why it is refused
    std::string digest;
    std::vector<task> tasks;
    std::vector<waiter> waiters;
    service_id service;
    std::uint32_t task_count = 0;
    owner_epoch epoch;
    wall_time accepted;
    steady_time deadline;
    steady_time next_poll;
    steady_time settled_by;  ///< answers that are missing then are lost
    milliseconds poll{kFirstPoll};
    bool asked = false;  ///< a poll is under way
    std::shared_ptr<answer_collector> collector;
  };

  /// @returns true if the submission is known here; it has then been answered
  ///   or joined
  bool Join(const uuid& id, named_submission& submitted,
            answer_hook& on_answer);
  active_submission& Activate(const uuid& id, named_submission submitted,
                              answer_hook on_answer);
  void OnLookedUp(const uuid& id, std::uint64_t attempt,
                  const std::optional<ledger_read_reply_message>& reply);
  void OnKnown(const uuid& id, active_submission& known,
               const ledger_record& record);
  bool IsOwn(const ledger_record& record) const;
  active_submission* Get(const uuid& id, std::uint64_t attempt);
  void Claim(const uuid& id, active_submission& claimed);
  void OnClaim(const uuid& id, std::uint64_t attempt,
               const std::optional<ledger_claim_reply_message>& reply);
  void OnLateClaim(const uuid& id,
                   const std::optional<ledger_claim_reply_message>& reply);
  void OnExists(const uuid& id, active_submission& claimed,
                const ledger_record& record);
  void Run(const uuid& id, active_submission& claimed, owner_epoch epoch);
  void Follow(const uuid& id, active_submission& followed,
              const ledger_record& record);
  void Poll(const uuid& id, active_submission& polled);
  void Collect(const uuid& id, active_submission& collected);
  void OnCollected(const uuid& id, active_submission& collected);
  void OnEndingCollected(const uuid& id, active_submission& ending);
  void FindOnRecord(const ledger_record& record, const find_hook& on_answer);
  void Refuse(const uuid& id, const refusal& cause);
  void End(const uuid& id, const job_result& answer);
  void Finish(const uuid& id, owner_epoch epoch, const job_result& answer);
  void TickOne(const uuid& id);
  void EndWaiters(active_submission& waited, steady_time now);
  void ForgetOldClaims();

  const clock_interface& clock_;
  dispatch_controller& dispatch_;
  job_controller& jobs_;
  entry_id self_;
  incarnation_id incarnation_;
  ledger_hooks ledger_;
  job_result_cache ended_;
  std::unordered_map<uuid, active_submission> active_;
  /// Ids that this entry has claimed before, and whether the last claim was
  /// given up. A record that names this entry as owner may be run only on the
  /// first claim.
  std::unordered_map<uuid, bool> given_up_;
  std::deque<std::pair<steady_time, uuid>> claim_order_;
  std::uint64_t last_attempt_ = 0;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_SUBMISSION_CONTROLLER_H_
