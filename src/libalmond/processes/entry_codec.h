#ifndef ALMOND_PROCESSES_ENTRY_CODEC_H_
#define ALMOND_PROCESSES_ENTRY_CODEC_H_

#include <string>
#include <variant>

#include "libalmond/controllers/entry/job_controller.h"
#include "libalmond/controllers/entry/submission_controller.h"
#include "libalmond/core/outcome.h"
#include "libalmond/filters/request_context.h"
#include "libalmond/net/http_message.h"

namespace almond {

/// Reads a caller's POST into a request, or says why it is not one.
/// @param request path of the form /v1/services/{service}/requests or .../jobs
std::variant<request_context, refusal> ParseSubmission(
    const http_request& request);

/// @returns true if the path is one of a single job
bool IsJobPath(const std::string& path);

/// @param request GET or DELETE with a path of the form /v1/jobs/{submission}
/// @returns the submission, or the refusal of another method or a malformed id
std::variant<uuid, refusal> ParseJobRequest(const http_request& request);

/// @returns the HTTP status of a refusal
int HttpStatus(refusal_reason reason);

/// @returns the response to a refused or failed request
http_response RefusalResponse(const refusal& refused);

/// @param cause of a failed answer to GET or DELETE of a job
/// @returns false if it tells that the job's state could not be found
bool IsJobState(const refusal& cause);

/// @param cancelled what a DELETE has done, nothing for a GET
/// @returns the response about a job that has not ended
http_response RunningResponse(std::optional<cancel_outcome> cancelled);

/// @returns the response to a single request
http_response RequestResponse(const job_result& answer);

/// @returns the response to a job
http_response JobResponse(const job_result& answer);

}  // namespace almond

#endif  // ALMOND_PROCESSES_ENTRY_CODEC_H_
