#include "version_poller.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "libalmond/net/http_client.h"

namespace almond {

version_poller::version_poller(event_loop& loop, const clock_interface& clock,
                               std::vector<socket_address> processes)
    : loop_(loop),
      clock_(clock),
      processes_(std::move(processes)),
      waiting_(processes_.size()),
      down_(processes_.size()) {}

void version_poller::Start() {
  timer_ = loop_.Every(kPeriod, [this] { Poll(); });
}

void version_poller::Poll() {
  constexpr milliseconds kTimeout{1000};
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    // One call at a time for each process, so that the answers stay in order.
    if (waiting_[i]) continue;
    waiting_[i] = true;
    const auto on_end = [this, i](const http_call_result& result) {
      waiting_[i] = false;
      if (result.outcome == http_call_outcome::not_sent) down_[i] = true;
      if (result.outcome != http_call_outcome::answered) return;
      if (result.response.status != 200) return;
      const auto body =
          nlohmann::json::parse(result.response.body, nullptr, false);
      if (!body.is_object() || !body.contains("version")) return;
      const auto now = std::chrono::duration_cast<milliseconds>(
          clock_.WallNow().time_since_epoch());
      samples_.push_back(
          {now.count(), i, body["version"].get<std::uint64_t>(), down_[i]});
      // Cleared once the process reports a version in force.
      if (samples_.back().version > 0) down_[i] = false;
    };
    SendHttpRequest(loop_, processes_[i], {"GET", "/v1/config", "", {}, ""},
                    kTimeout, on_end);
  }
}

}  // namespace almond
