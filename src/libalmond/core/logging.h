#ifndef ALMOND_CORE_LOGGING_H_
#define ALMOND_CORE_LOGGING_H_

#include <easylogging++.h>

#include <string>

namespace almond {

/// Configures logging to standard error; without it easylogging++ writes files
/// into the working folder. Log lines are for changes of state only; events
/// that repeat have counters.
/// @param program name printed in each line
void ConfigureLogging(const std::string& program);

/// The same with one JSON object a line, as decision_log writes them.
/// @param process name of this process
void ConfigureJsonLogging(const std::string& process);

}  // namespace almond

#endif  // ALMOND_CORE_LOGGING_H_
