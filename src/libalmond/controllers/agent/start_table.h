#ifndef ALMOND_CONTROLLERS_AGENT_START_TABLE_H_
#define ALMOND_CONTROLLERS_AGENT_START_TABLE_H_

#include <cstdint>
#include <list>
#include <set>
#include <unordered_map>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/dispatch_messages.h"

namespace almond {

/// Records the starts of one agent incarnation: the started task names, their
/// answers, and the fenced names, whose starts are refused. A name is started
/// at most once. A name is reported as not seen only if the table proves it;
/// once its record may have been dropped, it is reported as `unknown`.
class start_table {
 public:
  struct limits {
    /// Time for which ended and fenced names are kept. Longer than the sum of
    /// the ledger's window (10 min), the longest request timeout (10 min) and
    /// twice age_margin, so that a submission accepted by the ledger is never
    /// considered expired.
    duration retention = std::chrono::minutes(25);
    /// Time for which the name of a task is kept after its answer was
    /// acknowledged. A query in flight on an older connection can arrive until
    /// that link times out (3 s), and must not be answered with `not_seen`.
    duration forgotten_retention = std::chrono::seconds(10);
    /// Allows for clock differences between processes and for submission ids
    /// that are created some time before the start. A name that is not in the
    /// table may have expired if its submission is older than the retention
    /// minus this margin.
    duration age_margin = std::chrono::minutes(2);
    /// Limit on the bytes of stored answer bodies. Above it, the oldest bodies
    /// are dropped and tasks whose result is lost are reported as unknown.
    std::size_t max_answer_bytes = std::size_t{64} << 20U;
    /// Limit on started names; above it new starts are refused.
    std::size_t max_names = 262144;
    /// Limit on fenced names, and separately on fenced submissions. Above it,
    /// names without a record are reported as unknown, since they cannot be
    /// fenced.
    std::size_t max_fences = 65536;
  };

  /// Limit on the task_count of a query for a submission. Tasks with a higher
  /// index are reported only if they have a record.
  static constexpr std::uint32_t kMaxQueryTasks = 65536;

  enum class begin_outcome {
    accepted,  ///< recorded as running; the caller must start it
    known,     ///< already started, or possibly started earlier and its record
               ///< has expired; must not be started
    fenced,    ///< fenced; must not be started
    full       ///< the table is full; must not be started
  };

  start_table(const clock_interface& clock, incarnation_id incarnation,
              limits bounds)
      : clock_(clock), incarnation_(incarnation), limits_(bounds) {}

  /// Records a start before it is sent to the endpoint. A duplicate of a start
  /// cannot arrive after its name was dropped: each start uses up a grant,
  /// whose lease is 2 s, and names are kept for longer.
  /// @param epoch epoch of the owner that sent the start
  begin_outcome Begin(const task_name& name, owner_epoch epoch);

  /// @param epoch epoch of the owner that sent the start
  /// @returns what Begin would return; records nothing
  begin_outcome Check(const task_name& name, owner_epoch epoch) const;

  /// Records the result of a start. The name of a start that was certainly not
  /// run (refused, not sent) is dropped, so that it can be started again.
  void End(const answer_message& answer);

  /// @param fence true to refuse later starts of the name if it was not seen
  /// @returns the state of the task as known to this incarnation
  task_report Report(const task_name& name, bool fence);

  /// Answers a query and sets the fences that it requests.
  /// @param query lists names, or specifies a submission
  /// @returns one report per name; for a submission, reports on its first
  ///   task_count names and on all further names with a record. If the query is
  ///   for another incarnation, all names are reported as unknown.
  std::vector<task_report> AnswerQuery(const query_message& query);

  /// @returns true if the submission was taken over by an owner with a higher
  ///   epoch
  bool Superseded(const uuid& submission, owner_epoch epoch) const;

  /// Drops the answers that their entry has acknowledged. The names are kept
  /// for limits::forgotten_retention.
  void Forget(const std::vector<task_name>& names);

  /// Drops records whose retention time has passed; called periodically.
  void Expire();

  /// @returns number of names, including fenced ones
  std::size_t size() const { return records_.size(); }
  /// @returns number of running tasks
  std::size_t Running() const { return running_; }
  std::size_t Fences() const { return fences_; }
  std::size_t AnswerBytes() const { return answer_bytes_; }

 private:
  using name_list = std::list<task_name>;

  struct record {
    task_state state = task_state::not_seen;
    bool forgotten = false;
    answer_message answer;
    steady_time changed;
    /// Position in expiries_ or forgotten_; not valid while the task runs.
    name_list::iterator expiry;
    /// Position in stored_answers_; valid only if the answer has a body.
    name_list::iterator stored_position;
  };
  struct epoch_fence {
    owner_epoch minimum;
    steady_time changed;
    std::list<uuid>::iterator expiry;
  };
  using record_map = std::unordered_map<task_name, record>;

  std::vector<task_report> AnswerSubmission(const query_message& query,
                                            bool other_incarnation);
  bool FenceSubmission(const uuid& submission, owner_epoch epoch);
  bool MayHaveExpired(const uuid& submission) const;
  record& Insert(const task_name& name, task_state state);
  void ScheduleExpiry(const task_name& name, record& entry);
  void DropAnswerBody(record& entry);
  void Erase(record_map::iterator position);
  void DropOldestAnswers();
  void ExpireNames(name_list& names, duration retention);

  const clock_interface& clock_;
  incarnation_id incarnation_;
  limits limits_;
  record_map records_;
  /// Task indices with a record, by submission; for queries by submission.
  std::unordered_map<uuid, std::set<std::uint32_t>> submissions_;
  /// Fences of submissions that were taken over: starts with a lower epoch are
  /// refused.
  std::unordered_map<uuid, epoch_fence> epoch_fences_;
  std::list<uuid> epoch_expiries_;  ///< oldest first
  name_list expiries_;              ///< ended and fenced names, oldest first
  name_list forgotten_;             ///< acknowledged names, oldest first
  name_list stored_answers_;        ///< names with an answer body, oldest first
  std::size_t running_ = 0;
  std::size_t fences_ = 0;
  std::size_t answer_bytes_ = 0;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_START_TABLE_H_
