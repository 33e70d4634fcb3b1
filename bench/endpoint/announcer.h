#ifndef ALMOND_BENCH_ENDPOINT_ANNOUNCER_H_
#define ALMOND_BENCH_ENDPOINT_ANNOUNCER_H_

#include <functional>
#include <string>

#include "libalmond/core/socket_address.h"
#include "libalmond/net/event_loop.h"

namespace almond {

/// Announces one endpoint to its agent every second, until Leave is called.
class announcer {
 public:
  static constexpr milliseconds kPeriod{1000};

  /// @param agent the agent's HTTP address
  /// @param body JSON of the announcement
  announcer(event_loop& loop, socket_address agent, std::string body);

  /// Stops the announcements and removes the endpoint from the agent.
  /// @param on_left called after the answer of the agent, or if it is
  ///   unreachable
  void Leave(std::function<void()> on_left);

 private:
  void Announce();

  event_loop& loop_;
  socket_address agent_;
  std::string body_;
  event_handle timer_;
};

}  // namespace almond

#endif  // ALMOND_BENCH_ENDPOINT_ANNOUNCER_H_
