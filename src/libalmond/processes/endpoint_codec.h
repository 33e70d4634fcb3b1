#ifndef ALMOND_PROCESSES_ENDPOINT_CODEC_H_
#define ALMOND_PROCESSES_ENDPOINT_CODEC_H_

#include <optional>
#include <string>

#include "libalmond/controllers/agent/endpoint_announcement.h"
#include "libalmond/net/http_client.h"

namespace almond {

/// @param body JSON of PUT /v1/endpoint
/// @returns the announcement, or nothing if a field is missing, has the wrong
///   type or is out of bounds
std::optional<endpoint_announcement> ParseEndpointAnnouncement(
    const std::string& body);

/// @param result how the HTTP request of a start ended
/// @returns what it says about the task
start_outcome StartOutcome(const http_call_result& result);

}  // namespace almond

#endif  // ALMOND_PROCESSES_ENDPOINT_CODEC_H_
