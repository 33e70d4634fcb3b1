#include "libalmond/controllers/agent/query_answers.h"

#include <utility>

namespace almond {

std::vector<query_answer_message> SplitReports(
    const query_answer_message& head, std::vector<task_report> reports) {
  std::vector<query_answer_message> messages = {head};
  std::size_t bytes = 0;
  for (task_report& report : reports) {
    const std::size_t size = report.answer.body.size();
    const std::size_t count = messages.back().tasks.size();
    if (count > 0 &&
        (bytes + size > kQueryAnswerBytes || count >= kQueryAnswerReports)) {
      messages.push_back(head);
      bytes = 0;
    }
    bytes += size;
    messages.back().tasks.push_back(std::move(report));
  }
  return messages;
}

}  // namespace almond
