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

/// Memory of all starts of one agent incarnation: which names were started,
/// their answers, and which names are refused from now on. A name is started at
/// most once. A name is reported as never started only while the table proves
/// it; where the memory has ended, the report is `unknown`.
class start_table {
 public:
  struct limits {
    /// Time for which ended and fenced names are kept. It exceeds the ledger's
    /// window (10 min) by the longest timeout of a request (10 min) and twice
    /// the margin below, so that a submission that the ledger accepts is never
    /// taken for an expired one.
    duration retention = std::chrono::minutes(25);
    /// Time for which the bare name of a forgotten task is kept. A query that
    /// was on its way over an older connection arrives within the silence limit
    /// of links (3 s), and must not be told `not_seen`.
    duration forgotten_retention = std::chrono::seconds(10);
    /// Difference of clocks between processes, and the time before its start
    /// by which a submission id may be made. An absent name whose submission
    /// is older than the retention less this margin may have expired.
    duration age_margin = std::chrono::minutes(2);
    /// Bytes of stored answers; above it the oldest bodies are dropped and
    /// their tasks are reported as unknown.
    std::size_t max_answer_bytes = std::size_t{64} << 20U;
    /// Names of starts; above it new starts are refused.
    std::size_t max_names = 262144;
    /// Fenced names, and apart from them fenced submissions; above it absent
    /// names are reported as unknown, since no fence can be kept for them.
    std::size_t max_fences = 65536;
  };

  /// Tasks of one submission that a query covers at most; the rest gets no
  /// report.
  static constexpr std::uint32_t kMaxQueryTasks = 65536;

  enum class begin_outcome {
    accepted,  ///< recorded as running; the caller starts it
    known,     ///< was started before, or may have been and its name has
               ///< expired; must not be started
    fenced,    ///< is refused
    full       ///< the table has no room; must not be started
  };

  start_table(const clock_interface& clock, incarnation_id incarnation,
              limits bounds)
      : clock_(clock), incarnation_(incarnation), limits_(bounds) {}

  /// Records a start, before it is sent to the endpoint. A start cannot arrive
  /// after its name has left the table: the start uses up a grant that lives
  /// 2 s, each grant is accepted once, and names stay for longer than that.
  /// @param name the task
  /// @param epoch epoch of the owner that sent the start
  begin_outcome Begin(const task_name& name, owner_epoch epoch);

  /// @param name the task
  /// @param epoch epoch of the owner that sends a start
  /// @returns what Begin would return, without a change
  begin_outcome Check(const task_name& name, owner_epoch epoch) const;

  /// Records the end of a start. A start that certainly did not run (refused,
  /// not sent) leaves the name free to be started again.
  void End(const answer_message& answer);

  /// @param name a task
  /// @param fence refuse the name from now on if it was never seen
  /// @returns what this incarnation knows of it
  task_report Report(const task_name& name, bool fence);

  /// Answers a query, with the fences that it asks for.
  /// @param query names, or a whole submission
  /// @returns one report per name; for a submission its first task_count names
  ///   and all others that are known. If the query is for another incarnation,
  ///   all names are reported as unknown.
  std::vector<task_report> AnswerQuery(const query_message& query);

  /// @returns true if a takeover with a higher epoch has been seen
  bool Superseded(const uuid& submission, owner_epoch epoch) const;

  /// Drops ended names whose answers have arrived.
  void Forget(const std::vector<task_name>& names);

  /// Drops names whose retention has ended; to be called now and then.
  void Expire();

  /// @returns number of names, fenced ones included
  std::size_t size() const { return records_.size(); }
  /// @returns number of names that run
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
    /// Position in the list that its expiry goes by; unused while it runs.
    name_list::iterator expiry;
    /// Position among the answers; valid if the answer has a body.
    name_list::iterator stored;
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
  void Keep(const task_name& name, record& entry);
  void DropBody(record& entry);
  void Erase(record_map::iterator position);
  void DropOldestAnswers();
  void ExpireNames(name_list& names, duration retention);

  const clock_interface& clock_;
  incarnation_id incarnation_;
  limits limits_;
  record_map records_;
  /// Names of each submission that is known, for queries by submission.
  std::unordered_map<uuid, std::set<std::uint32_t>> submissions_;
  /// Starts of a lower epoch are refused, per submission taken over.
  std::unordered_map<uuid, epoch_fence> epochs_;
  std::list<uuid> epoch_expiries_;  ///< oldest first
  name_list expiries_;              ///< ended and fenced names, oldest first
  name_list forgotten_;             ///< forgotten names, oldest first
  name_list stored_;                ///< names with a body, oldest first
  std::size_t running_ = 0;
  std::size_t fences_ = 0;
  std::size_t answer_bytes_ = 0;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_START_TABLE_H_
