#ifndef ALMOND_CONTROLLERS_AGENT_QUERY_ANSWERS_H_
#define ALMOND_CONTROLLERS_AGENT_QUERY_ANSWERS_H_

#include <vector>

#include "libalmond/core/dispatch_messages.h"

namespace almond {

/// Bytes of answer bodies after which the answer to a query continues in
/// another message, so that each message fits into a frame.
inline constexpr std::size_t kQueryAnswerBytes = std::size_t{1} << 20U;
/// Number of reports after which the answer to a query continues in another
/// message.
inline constexpr std::size_t kQueryAnswerReports = 4096;

/// Splits the answer to a query into messages.
/// @param head message without reports, copied into each message
/// @param reports reports in the order of the query
/// @returns at least one message
std::vector<query_answer_message> SplitReports(
    const query_answer_message& head, std::vector<task_report> reports);

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_QUERY_ANSWERS_H_
