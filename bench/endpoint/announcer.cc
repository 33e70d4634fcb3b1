#include "announcer.h"

#include <utility>

#include "libalmond/core/logging.h"
#include "libalmond/net/http_client.h"

namespace almond {
namespace {

constexpr milliseconds kCallTimeout{1000};

}  // namespace

announcer::announcer(event_loop& loop, socket_address agent, std::string body)
    : loop_(loop), agent_(std::move(agent)), body_(std::move(body)) {
  timer_ = loop_.Every(kPeriod, [this] { Announce(); });
  Announce();
}

void announcer::Announce() {
  const auto on_end = [agent = agent_](const http_call_result& result) {
    if (result.outcome != http_call_outcome::answered) return;
    if (result.response.status == 200) return;
    LOG(ERROR) << "agent " << agent.ToString()
               << " refused the announcement: " << result.response.body;
  };
  SendHttpRequest(loop_, agent_, {"PUT", "/v1/endpoint", "", {}, body_},
                  kCallTimeout, on_end);
}

void announcer::Leave(std::function<void()> on_left) {
  timer_.Reset();
  SendHttpRequest(
      loop_, agent_, {"DELETE", "/v1/endpoint", "", {}, ""}, kCallTimeout,
      [on_left = std::move(on_left)](const http_call_result& /*result*/) {
        on_left();
      });
}

}  // namespace almond
