#ifndef ALMOND_PROCESSES_OPERATOR_LOG_H_
#define ALMOND_PROCESSES_OPERATOR_LOG_H_

#include <string>

#include "libalmond/core/clock.h"
#include "libalmond/net/http_message.h"
#include "libalmond/net/http_server.h"

namespace almond {

/// @returns the beginning of a path, with a question mark for each character
///   that could end a log field or line
std::string LoggablePath(const std::string& path);

/// Logs how an operator's change was answered, and after what time. Reads are
/// not logged, as monitoring repeats them.
/// @param clock source of time; outlives the responder
/// @param respond sends the response
/// @returns a responder that logs the response and passes it on
http_server::responder LogAnswer(const clock_interface& clock,
                                 const http_request& request,
                                 http_server::responder respond);

}  // namespace almond

#endif  // ALMOND_PROCESSES_OPERATOR_LOG_H_
