#ifndef ALMOND_BENCH_CHECKER_RUN_VERDICT_H_
#define ALMOND_BENCH_CHECKER_RUN_VERDICT_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "call_record.h"
#include "run_files.h"
#include "version_poller.h"

namespace almond {

/// Recorded history of a run.
struct run_history {
  std::vector<offered_work> works;
  std::vector<call_record> calls;
  std::vector<logged_start> starts;
  std::vector<fault_event> events;
  std::vector<version_sample> versions;
  /// Reasons other than "complete" that are allowed; if empty, all are
  /// allowed.
  std::set<std::string> allowed;
};

/// Checks the history of a run against the guarantees.
class run_verdict {
 public:
  explicit run_verdict(const run_history& history);

  /// @returns a summary of the run with the first violations
  std::string MakeReport() const;
  /// @returns true if no guarantee was violated
  bool IsClean() const { return violations_.empty(); }

 private:
  void CheckStarts();
  void CheckCall(const call_record& call);
  void CheckJobTasks(const call_record& call, const offered_work& work);
  bool IsExpectedAnswer(const call_record& call,
                        const offered_work& work) const;
  bool StartedBefore(const std::string& body, const call_record& call) const;
  void CheckEndStates();
  void CheckVersions();
  void CheckInForce(const fault_event& accepted);
  void Violation(const std::string& kind, const std::string& detail);
  std::string FailureRows() const;
  std::string RecoveryRows() const;

  const run_history& history_;
  std::map<std::string, std::vector<std::int64_t>> starts_by_body_;
  /// Number of calls that reached an entry, by work.
  std::vector<std::size_t> calls_by_work_;
  std::size_t retried_starts_ = 0;
  std::int64_t slowest_version_ms_ = -1;
  std::map<std::string, std::size_t> violation_counts_;
  std::vector<std::string> violations_;
};

}  // namespace almond

#endif  // ALMOND_BENCH_CHECKER_RUN_VERDICT_H_
