#ifndef ALMOND_PROCESSES_DAEMON_LOG_H_
#define ALMOND_PROCESSES_DAEMON_LOG_H_

#include "libalmond/core/metrics.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_message.h"

namespace almond {

/// Writes buffered log lines of the process at intervals, so that a reader that
/// is back gets them without waiting for the next line.
/// @returns the timer, which ends with the handle
event_handle FlushLogPeriodically(event_loop& loop);

/// @returns the answer to a read of the metrics: those of the registry, and the
///   number of log lines that the process has dropped
http_response MetricsResponse(const metrics_registry& metrics);

}  // namespace almond

#endif  // ALMOND_PROCESSES_DAEMON_LOG_H_
