#ifndef ALMOND_CONTROLLERS_ENTRY_ANSWER_COLLECTOR_H_
#define ALMOND_CONTROLLERS_ENTRY_ANSWER_COLLECTOR_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "libalmond/controllers/entry/dispatch_controller.h"

namespace almond {

/// Gathers what all agents of a service know of one submission.
class answer_collector : public std::enable_shared_from_this<answer_collector> {
 public:
  /// @param task_count number of tasks of the submission
  answer_collector(dispatch_controller& dispatch, service_id service,
                   uuid submission, std::uint32_t task_count)
      : dispatch_(dispatch),
        service_(std::move(service)),
        submission_(submission),
        answers_(task_count) {}

  /// Asks all connected agents; earlier answers are kept.
  /// @param fence refuse absent names and lower epochs from now on
  /// @param epoch epoch of the asking owner
  /// @param on_end called once when each agent has answered or is lost; may be
  ///   called from within this call
  void Ask(bool fence, owner_epoch epoch, std::function<void()> on_end);

  /// @returns true if each task has a result with status 200
  bool Complete() const;
  /// @returns true if a task was running when its agent was asked
  bool Running() const { return running_; }
  /// @returns true if an agent ended a task without success
  bool Failed() const;
  /// @returns the answers of a complete submission
  std::vector<std::string> Bodies() const;

 private:
  void OnAnswer(const std::optional<query_answer_message>& answer);

  dispatch_controller& dispatch_;
  service_id service_;
  uuid submission_;
  std::vector<std::optional<answer_message>> answers_;
  bool running_ = false;
  std::size_t open_ = 0;
  std::function<void()> on_end_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_ANSWER_COLLECTOR_H_
