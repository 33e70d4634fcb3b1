#ifndef ALMOND_CONTROLLERS_ENTRY_ANSWER_COLLECTOR_H_
#define ALMOND_CONTROLLERS_ENTRY_ANSWER_COLLECTOR_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "libalmond/controllers/entry/dispatch_controller.h"

namespace almond {

/// Collects from all agents of a service the task states and answers of one
/// submission.
class answer_collector : public std::enable_shared_from_this<answer_collector> {
 public:
  /// @param task_count number of tasks of the submission
  answer_collector(dispatch_controller& dispatch, service_id service,
                   uuid submission, std::uint32_t task_count)
      : dispatch_(dispatch),
        service_(std::move(service)),
        submission_(submission),
        answers_(task_count) {}

  /// Queries all connected agents. Answers of earlier queries are kept.
  /// @param fence makes the agents refuse names they have not seen and starts
  ///   of lower epochs from now on
  /// @param epoch epoch of the submission's current owner
  /// @param on_end called once, when every agent has answered or disconnected;
  ///   may be called from within this call
  void QueryAgents(bool fence, owner_epoch epoch, std::function<void()> on_end);

  /// @returns true if every task has a successful answer
  bool IsComplete() const;
  /// @returns true if an agent reported a running task in the last query
  bool AnyRunning() const { return any_running_; }
  /// @returns true if an agent reported an unsuccessful task
  bool AnyFailed() const;
  /// @returns the response bodies in task order; requires IsComplete()
  std::vector<std::string> Bodies() const;

 private:
  void OnAnswer(const std::optional<query_answer_message>& answer);

  dispatch_controller& dispatch_;
  service_id service_;
  uuid submission_;
  std::vector<std::optional<answer_message>> answers_;
  bool any_running_ = false;
  std::size_t pending_queries_ = 0;
  std::function<void()> on_end_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_ANSWER_COLLECTOR_H_
