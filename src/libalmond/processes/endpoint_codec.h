#ifndef ALMOND_PROCESSES_ENDPOINT_CODEC_H_
#define ALMOND_PROCESSES_ENDPOINT_CODEC_H_

#include <string>
#include <variant>

#include "libalmond/controllers/agent/endpoint_announcement.h"
#include "libalmond/controllers/agent/task_control.h"
#include "libalmond/net/http_client.h"

namespace almond {

/// @param body JSON of PUT /v1/endpoint
/// @returns the announcement, or a refusal that names the invalid field and the
///   expected value
std::variant<endpoint_announcement, refusal> ParseEndpointAnnouncement(
    const std::string& body);

/// @param result result of the start's HTTP request
/// @returns the outcome of the task
start_outcome StartOutcome(const http_call_result& result);

/// @param control the requested operation
/// @param result result of the HTTP request for the operation
/// @returns the effect on the task
task_control_result ControlResult(task_control control,
                                  const http_call_result& result);

}  // namespace almond

#endif  // ALMOND_PROCESSES_ENDPOINT_CODEC_H_
