#include "libalmond/processes/daemon_log.h"

#include <string>

#include "libalmond/core/logging.h"

namespace almond {
namespace {

constexpr std::chrono::seconds kFlushPeriod{1};

}  // namespace

event_handle FlushLogPeriodically(event_loop& loop) {
  return loop.Every(kFlushPeriod, [] { ProcessLog().Flush(); });
}

http_response MetricsResponse(const metrics_registry& metrics) {
  return {200,
          {{"Content-Type", "text/plain"}},
          metrics.Exposition() +
              "# TYPE almond_log_lines_dropped_total counter\n"
              "almond_log_lines_dropped_total " +
              std::to_string(ProcessLog().Dropped()) + "\n"};
}

}  // namespace almond
