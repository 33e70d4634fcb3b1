#ifndef ALMOND_CONTROLLERS_CONTROL_PENDING_ANSWERS_H_
#define ALMOND_CONTROLLERS_CONTROL_PENDING_ANSWERS_H_

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "libalmond/core/clock.h"

namespace almond {

/// Answers to operators that wait for the replicated log, which may take until
/// a majority is reachable again. Each is given once, at its deadline at the
/// latest.
template <typename Answer>
class pending_answers {
 public:
  using answer_hook = std::function<void(const Answer&)>;

  /// @param on_answer called once
  /// @returns the hook to call with the answer; ignored after the first call
  ///   and after the deadline
  answer_hook Add(steady_time deadline, answer_hook on_answer) {
    auto added =
        std::make_shared<pending>(pending{deadline, std::move(on_answer)});
    pending_.push_back(added);
    return [added](const Answer& answer) {
      const answer_hook waiting = std::exchange(added->on_answer, nullptr);
      if (waiting) waiting(answer);
    };
  }

  /// Gives `answer` where the deadline has been reached.
  void Expire(steady_time now, const Answer& answer) {
    std::vector<answer_hook> expired;
    std::erase_if(pending_, [now, &expired](const auto& listed) {
      if (listed->on_answer && listed->deadline <= now) {
        expired.push_back(std::exchange(listed->on_answer, nullptr));
      }
      return !listed->on_answer;
    });
    for (const answer_hook& waiting : expired) waiting(answer);
  }

 private:
  struct pending {
    steady_time deadline;
    answer_hook on_answer;
  };

  std::vector<std::shared_ptr<pending>> pending_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_PENDING_ANSWERS_H_
