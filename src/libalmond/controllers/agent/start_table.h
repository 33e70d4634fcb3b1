#ifndef ALMOND_CONTROLLERS_AGENT_START_TABLE_H_
#define ALMOND_CONTROLLERS_AGENT_START_TABLE_H_

#include <deque>
#include <unordered_map>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/dispatch_messages.h"

namespace almond {

/// Memory of all starts of one agent incarnation: which names were started,
/// their answers, and which names are refused from now on. A name is started at
/// most once.
class start_table {
 public:
  struct limits {
    /// Time for which ended and fenced names are kept; at least the ledger's
    /// window, so that a late start finds its name.
    duration retention = std::chrono::minutes(10);
    /// Bytes of stored answers; above it the oldest bodies are dropped and
    /// their tasks are reported as unknown.
    std::size_t max_answer_bytes = std::size_t{64} << 20U;
  };

  enum class begin_outcome {
    accepted,  ///< recorded as running; the caller starts it
    known,     ///< was started before; must not be started
    fenced     ///< is refused
  };

  start_table(const clock_interface& clock, incarnation_id incarnation,
              limits bounds)
      : clock_(clock), incarnation_(incarnation), limits_(bounds) {}

  /// Records a start, before it is sent to the endpoint.
  /// @param name the task
  /// @param epoch epoch of the owner that sent the start
  begin_outcome Begin(const task_name& name, owner_epoch epoch);

  /// Records the end of a start. A start that certainly did not run (refused,
  /// not sent) leaves the name free to be started again.
  void End(const answer_message& answer);

  /// @param name a task
  /// @param fence refuse the name from now on if it was never seen
  /// @returns what this incarnation knows of it
  task_report Report(const task_name& name, bool fence);

  /// Answers a query, with the fences that it asks for.
  /// @param query names, or a whole submission
  /// @returns one report per name; for a submission without task count only
  ///   the names that are known. If the query is for another incarnation, all
  ///   names are reported as unknown.
  std::vector<task_report> Answer(const query_message& query);

  /// Drops ended names whose answers have arrived.
  void Forget(const std::vector<task_name>& names);

  /// Drops names whose retention has ended; to be called now and then.
  void Expire();

  std::size_t size() const { return records_.size(); }
  /// @returns number of names that run
  std::size_t Running() const { return running_; }
  std::size_t AnswerBytes() const { return answer_bytes_; }

 private:
  struct record {
    task_state state = task_state::never;
    answer_message answer;
    steady_time changed;
  };
  struct expiry {
    steady_time time;
    task_name name;
  };

  std::vector<task_report> AnswerSubmission(const query_message& query);
  void Keep(const task_name& name, record& entry);
  void Erase(std::unordered_map<task_name, record>::iterator position);
  void DropOldestAnswers();

  const clock_interface& clock_;
  incarnation_id incarnation_;
  limits limits_;
  std::unordered_map<task_name, record> records_;
  /// Names of each submission that is known, for queries by submission.
  std::unordered_map<uuid, std::vector<std::uint32_t>> submissions_;
  /// Starts of a lower epoch are refused, per submission taken over.
  std::unordered_map<uuid, owner_epoch> min_epochs_;
  std::deque<expiry> expiries_;
  std::size_t running_ = 0;
  std::size_t answer_bytes_ = 0;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_START_TABLE_H_
