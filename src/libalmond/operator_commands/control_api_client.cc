#include "libalmond/operator_commands/control_api_client.h"

#include "libalmond/operator_commands/http_exchange.h"
#include "libalmond/operator_commands/json_reply.h"

namespace almond {
namespace {

constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;

}  // namespace

control_answer control_api_client::Call(const http_request& request) {
  answer_ = {};
  for (int round = 0; round < kMaxRounds && !controls_.empty(); ++round) {
    if (round > 0) RunFor(context_.loop, context_.round_delay);
    if (TryAllOnce(request)) break;
  }
  return answer_;
}

bool control_api_client::TryAllOnce(const http_request& request) {
  candidates_ = controls_;
  tried_.clear();
  while (!candidates_.empty()) {
    const socket_address address = candidates_.front();
    candidates_.erase(candidates_.begin());
    // A leader named by a follower may also be in the list.
    if (tried_.insert(address).second && Try(address, request)) return true;
  }
  return false;
}

bool control_api_client::Try(const socket_address& address,
                             const http_request& request) {
  const http_call_result result =
      SendAndWait(context_.loop, address, request, kCallTimeout);
  if (result.outcome == http_call_outcome::not_sent) return false;
  const http_response& response = result.response;
  const bool answered = result.outcome == http_call_outcome::answered;
  if (answered && response.status < kFirstServerError) {
    answer_ = {control_outcome::answered, response};
    return true;
  }
  const auto body = ParseReply(response.body);
  const bool not_leader = answered && response.status == kUnavailable &&
                          TextMember(body, "reason") == "not-leader";
  if (!not_leader) {
    // A read has no effect, so a lost answer leaves nothing unknown.
    const bool read = request.method == "GET";
    if (!read) answer_.outcome = control_outcome::outcome_unknown;
    return false;
  }
  const auto leader = socket_address::Parse(TextMember(body, "leader"));
  if (leader) candidates_.insert(candidates_.begin(), *leader);
  return false;
}

}  // namespace almond
