#include "libalmond/controllers/entry/answer_collector.h"

#include <algorithm>
#include <utility>

namespace almond {

void answer_collector::QueryAgents(bool fence, owner_epoch epoch,
                                   std::function<void()> on_end) {
  const auto agents = dispatch_.ConnectedAgents(service_);
  any_running_ = false;
  on_end_ = std::move(on_end);
  pending_queries_ = agents.size();
  if (agents.empty()) {
    std::exchange(on_end_, nullptr)();
    return;
  }
  for (const connected_agent& agent : agents) {
    query_message query;
    query.submission = submission_;
    query.task_count = static_cast<std::uint32_t>(answers_.size());
    query.fence = fence;
    query.epoch = epoch;
    dispatch_.Query(agent.link, query,
                    [self = shared_from_this()](
                        const std::optional<query_answer_message>& answer) {
                      self->OnAnswer(answer);
                    });
  }
}

void answer_collector::OnAnswer(
    const std::optional<query_answer_message>& answer) {
  if (answer) {
    for (const task_report& report : answer->tasks) {
      if (report.name.submission != submission_ ||
          report.name.index >= answers_.size()) {
        continue;
      }
      if (report.state == task_state::running) any_running_ = true;
      if (report.state == task_state::ended) {
        answers_[report.name.index] = report.answer;
      }
    }
  }
  if (--pending_queries_ == 0) std::exchange(on_end_, nullptr)();
}

bool answer_collector::IsComplete() const {
  return std::all_of(answers_.begin(), answers_.end(), [](const auto& answer) {
    return answer && answer->outcome == start_outcome::done;
  });
}

bool answer_collector::AnyFailed() const {
  return std::any_of(answers_.begin(), answers_.end(), [](const auto& answer) {
    return answer && answer->outcome != start_outcome::done;
  });
}

std::vector<std::string> answer_collector::Bodies() const {
  std::vector<std::string> bodies;
  bodies.reserve(answers_.size());
  for (const auto& answer : answers_) bodies.push_back(answer->body);
  return bodies;
}

}  // namespace almond
