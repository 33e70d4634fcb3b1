#ifndef ALMOND_CORE_LOGGING_H_
#define ALMOND_CORE_LOGGING_H_

#include <easylogging++.h>

#include <string>

namespace almond {

/// Configures logging to standard output. Without this call, easylogging++
/// writes files into the working directory. Log lines are for state changes
/// only; recurring events have counters.
/// @param program name printed in each line
void ConfigureLogging(const std::string& program);

/// As ConfigureLogging, but with one JSON object per line, as in decision_log.
/// @param process name of this process
void ConfigureJsonLogging(const std::string& process);

}  // namespace almond

#endif  // ALMOND_CORE_LOGGING_H_
