#ifndef ALMOND_OPERATOR_COMMANDS_CONTROL_API_CLIENT_H_
#define ALMOND_OPERATOR_COMMANDS_CONTROL_API_CLIENT_H_

#include <set>
#include <vector>

#include "libalmond/core/socket_address.h"
#include "libalmond/net/http_message.h"
#include "libalmond/operator_commands/operator_context.h"

namespace almond {

/// Outcome of a call to the control processes.
enum class control_outcome {
  answered,   ///< the leader answered
  no_answer,  ///< no leader answered; nothing was changed
  /// An answer to a change was lost or was a server error, and no later attempt
  /// was answered.
  outcome_unknown
};

struct control_answer {
  control_outcome outcome = control_outcome::no_answer;
  http_response response;  ///< valid if answered
};

/// Calls the control processes in order until the leader answers.
class control_api_client {
 public:
  /// Rounds over all control processes before the call fails.
  static constexpr int kMaxRounds = 10;
  /// Limit on the time without progress of one request.
  static constexpr milliseconds kCallTimeout{5000};

  control_api_client(const operator_context& context,
                     std::vector<socket_address> controls)
      : context_(context), controls_(std::move(controls)) {}

  /// Sends a request and resends it after a lost answer. The request must
  /// therefore be a read or idempotent, as a change with a change id is.
  control_answer Call(const http_request& request);

 private:
  bool TryAllOnce(const http_request& request);
  bool Try(const socket_address& address, const http_request& request);

  const operator_context& context_;
  std::vector<socket_address> controls_;
  control_answer answer_;
  std::vector<socket_address> candidates_;
  std::set<socket_address> tried_;
};

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_CONTROL_API_CLIENT_H_
