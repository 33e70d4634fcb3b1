#ifndef ALMOND_PROCESSES_START_RETRY_H_
#define ALMOND_PROCESSES_START_RETRY_H_

#include <string>

#include "libalmond/storage/storage_error.h"

namespace almond {

/// Why a control process cannot start.
struct start_error {
  std::string message;
  /// True if another attempt may succeed, see storage_error.
  bool temporary = false;
};

/// @returns the error of a start that failed at the data folder
start_error MakeStartError(const storage_error& error);

/// Logs the error and runs a loop for the time between two attempts to start.
/// @returns false if a signal asked the process to end
bool AwaitNextStart(const start_error& error);

}  // namespace almond

#endif  // ALMOND_PROCESSES_START_RETRY_H_
