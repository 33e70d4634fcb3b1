#ifndef ALMOND_BENCH_CHECKER_VERSION_POLLER_H_
#define ALMOND_BENCH_CHECKER_VERSION_POLLER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/socket_address.h"
#include "libalmond/net/event_loop.h"

namespace almond {

/// A configuration version reported by a process.
struct version_sample {
  std::int64_t epoch_ms = 0;
  std::size_t process = 0;
  std::uint64_t version = 0;
  /// The process has been unreachable since its last version above 0, so it may
  /// report 0 (none yet).
  bool restarted = false;
};

/// Polls GET /v1/config of each process.
class version_poller {
 public:
  static constexpr milliseconds kPeriod{100};

  version_poller(event_loop& loop, const clock_interface& clock,
                 std::vector<socket_address> processes);

  void Start();
  const std::vector<version_sample>& Samples() const { return samples_; }

 private:
  void Poll();

  event_loop& loop_;
  const clock_interface& clock_;
  std::vector<socket_address> processes_;
  std::vector<bool> waiting_;  ///< by process: a call is in flight
  /// By process: was unreachable at least once since it last reported a version
  /// in force.
  std::vector<bool> down_;
  std::vector<version_sample> samples_;
  event_handle timer_;
};

}  // namespace almond

#endif  // ALMOND_BENCH_CHECKER_VERSION_POLLER_H_
