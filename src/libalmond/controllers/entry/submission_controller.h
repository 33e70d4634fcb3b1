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

/// Access to the job ledger. Each reply is called once, with nothing if the
/// ledger did not answer within the hook's timeout.
struct ledger_hooks {
  using claim_reply =
      std::function<void(const std::optional<ledger_claim_reply_message>&)>;
  using read_reply =
      std::function<void(const std::optional<ledger_read_reply_message>&)>;
  std::function<void(const ledger_claim_message&, claim_reply)> claim;
  /// The callee resends the message until the ledger has stored it or it is
  /// outdated.
  std::function<void(const ledger_finish_message&)> finish;
  std::function<void(const uuid&, read_reply)> read;
};

/// A submission whose id was chosen by the caller.
struct named_submission {
  std::vector<task> tasks;
  std::string digest;
  steady_time deadline;
};

/// Result of a request to cancel a submission.
enum class cancel_outcome : std::uint8_t {
  cancelling,  ///< its tasks are being stopped, or will not start
  not_owned    ///< not running at this entry; nothing was done
};

/// @param tasks of one submission
/// @returns a digest of service, kind, team, bodies and sizes
std::string SubmissionDigest(const std::vector<task>& tasks);

/// Manages the named submissions that callers wait for at this entry: claims
/// them in the ledger before anything starts, joins callers of the same
/// submission, and collects the answers of submissions that ended at another
/// entry. Also ends the submissions of failed owners.
class submission_controller {
 public:
  using answer_hook = job_controller::answer_hook;
  using find_hook = std::function<void(const std::optional<job_result>&)>;
  /// Timeout of the ledger's answer to a claim or look-up.
  static constexpr milliseconds kClaimTimeout{2000};
  static constexpr milliseconds kMinPollPeriod{200};
  static constexpr milliseconds kMaxPollPeriod{2000};
  /// Time after the first collection during which missing answers may still
  /// come from reconnecting agents.
  static constexpr milliseconds kCollectTimeout{2000};
  /// Time for which claimed ids are kept. Longer than the ledger's window, so
  /// that an id is kept for as long as it can be claimed.
  static constexpr std::chrono::minutes kClaimRetentionPeriod{12};
  /// Age of an id up to which its absence from the ledger proves that it was
  /// never accepted. One minute less than the ledger's window, to allow for
  /// clock differences between entry and ledger.
  static constexpr std::chrono::minutes kAbsenceProofAge{9};

  submission_controller(const clock_interface& clock,
                        dispatch_controller& dispatch, job_controller& jobs,
                        entry_id self, incarnation_id incarnation);

  /// Without these hooks every named submission is refused as
  /// `ledger-unavailable`.
  void SetLedger(ledger_hooks ledger) { ledger_ = std::move(ledger); }

  /// @param on_answer called once
  void Submit(named_submission submitted, answer_hook on_answer);
  /// Refuses a named submission unless the ledger has a record of its id. With
  /// a record, waits for the end of the recorded submission and answers with
  /// its result. Starts nothing itself. Without an answer of the
  /// ledger, or with an id older than kAbsenceProofAge, the refusal's outcome
  /// is unknown.
  /// @param submitted has an empty digest if its content could not be read
  ///   completely; with a record in the ledger the refusal then has an unknown
  ///   outcome
  /// @param cause why the request is refused
  /// @param on_answer called once
  void RefuseUnlessRecorded(named_submission submitted, refusal cause,
                            answer_hook on_answer);
  /// Ends a submission whose owner failed, without starting anything.
  void TakeOver(const ledger_record& record);
  /// Cancels a submission that is running or being claimed at this entry.
  cancel_outcome Cancel(const uuid& submission);

  /// Looks up the state of a submission.
  /// @param on_answer called once with the result, or with nothing while the
  ///   submission is running; `unknown-job` if there is no such submission
  void Find(const uuid& id, find_hook on_answer);

  /// @returns true if a resubmission can be answered without new work at this
  ///   entry
  bool HasSubmission(const uuid& id) const {
    return active_.count(id) > 0 || ended_.Find(id) != nullptr;
  }

  /// Polls the ledger and handles timeouts; called several times per second.
  void Tick();
  std::size_t size() const { return active_.size(); }

 private:
  enum class phase : std::uint8_t {
    claiming,    ///< waiting for the ledger's answer to the claim
    looking_up,  ///< refused here; looking for a record in the ledger
    running,     ///< the tasks run at this entry
    remote,      ///< another entry runs it; the ledger is polled
    collecting,  ///< complete; agents are queried for the answers
    fencing      ///< taken over from a failed owner; agents are being fenced
  };
  struct waiter {
    steady_time deadline;
    answer_hook on_answer;
  };
  struct active_submission {
    std::uint64_t generation = 0;  ///< lets callbacks detect a replaced record
    phase state = phase::claiming;
    bool first_claim = true;
    bool cancelled = false;  ///< cancelled during the claim
    refusal cause;           ///< why it is refused, during the look-up
    std::string digest;
    std::vector<task> tasks;
    std::vector<waiter> waiters;
    service_id service;
    std::uint32_t task_count = 0;
    owner_epoch epoch;
    wall_time accepted;
    steady_time deadline;
    steady_time next_poll;
    steady_time collect_deadline;  ///< end of the wait for missing answers
    milliseconds poll_period{kMinPollPeriod};
    bool request_pending = false;  ///< a ledger read or agent query is pending
    std::shared_ptr<answer_collector> collector;
  };

  /// @returns true if the submission is known here; the caller has then been
  ///   answered or added
  bool Join(const uuid& id, named_submission& submitted,
            answer_hook& on_answer);
  active_submission& Activate(const uuid& id, named_submission submitted,
                              answer_hook on_answer);
  void OnLookupReply(const uuid& id, std::uint64_t generation,
                     const std::optional<ledger_read_reply_message>& reply);
  void OnExistingRecord(const uuid& id, active_submission& known,
                        const ledger_record& record);
  bool IsOwnedHere(const ledger_record& record) const;
  active_submission* FindActive(const uuid& id, std::uint64_t generation);
  void Claim(const uuid& id, active_submission& claimed);
  void OnClaim(const uuid& id, std::uint64_t generation,
               const std::optional<ledger_claim_reply_message>& reply);
  void OnLateClaim(const uuid& id,
                   const std::optional<ledger_claim_reply_message>& reply);
  void OnClaimExists(const uuid& id, active_submission& claimed,
                     const ledger_record& record);
  void Run(const uuid& id, active_submission& claimed, owner_epoch epoch);
  void Follow(const uuid& id, active_submission& followed,
              const ledger_record& record);
  void Poll(const uuid& id, active_submission& polled);
  void Collect(const uuid& id, active_submission& collected);
  void OnCollected(const uuid& id, active_submission& collected);
  void OnTakeoverCollected(const uuid& id, active_submission& taken_over);
  void AnswerFromRecord(const ledger_record& record,
                        const find_hook& on_answer);
  void Refuse(const uuid& id, const refusal& cause);
  void End(const uuid& id, const job_result& answer);
  void Finish(const uuid& id, owner_epoch epoch, const job_result& answer);
  void TickSubmission(const uuid& id);
  void EndWaiters(active_submission& waited, steady_time now);
  void ExpireClaims();

  const clock_interface& clock_;
  dispatch_controller& dispatch_;
  job_controller& jobs_;
  entry_id self_;
  incarnation_id incarnation_;
  ledger_hooks ledger_;
  job_result_cache ended_;
  std::unordered_map<uuid, active_submission> active_;
  /// Ids that this entry has claimed; true if a caller was refused before the
  /// ledger's reply to the claim. If the ledger already names this entry as
  /// owner, the tasks are started only on this entry's first claim of the id;
  /// on a later claim they may have been started before.
  std::unordered_map<uuid, bool> abandoned_claims_;
  std::deque<std::pair<steady_time, uuid>> claim_order_;
  std::uint64_t last_generation_ = 0;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_SUBMISSION_CONTROLLER_H_
