#ifndef ALMOND_CORE_LOGGING_H_
#define ALMOND_CORE_LOGGING_H_

#include <easylogging++.h>

#include <string>

#include "libalmond/core/log_output.h"

namespace almond {

/// Sends all log lines of the process to ProcessLog. Without this call,
/// easylogging++ writes to standard output and may block. Log lines are for
/// state changes only; recurring events have counters.
/// @param program name printed in each line
void ConfigureLogging(const std::string& program);

/// As ConfigureLogging, but with one JSON object per line, as in decision_log.
/// @param process name of this process
void ConfigureJsonLogging(const std::string& process);

/// @returns the output of all log lines of this process, to standard output
log_output& ProcessLog();

}  // namespace almond

#endif  // ALMOND_CORE_LOGGING_H_
