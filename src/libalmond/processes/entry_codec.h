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

/// Parses a caller's POST.
/// @param request path of the form /v1/services/{service}/requests or .../jobs
/// @returns the request's context, or the refusal of an invalid request
std::variant<request_context, refusal> ParseSubmission(
    const http_request& request);

/// @returns true if the path addresses a single job
bool IsJobPath(const std::string& path);

/// @param request GET or DELETE with a path of the form /v1/jobs/{submission}
/// @returns the submission's id, or the refusal of another method or a
///   malformed id
std::variant<uuid, refusal> ParseJobRequest(const http_request& request);

/// @returns the HTTP status of a refusal
int HttpStatus(refusal_reason reason);

/// @returns the response to a refused or failed request, with its outcome and,
///   if a retry may succeed, a Retry-After header
http_response RefusalResponse(const refusal& refused);

/// @param cause refusal in the result of GET or DELETE of a job
/// @returns true if the job itself failed with this cause, false if the job's
///   state is unknown
bool IsJobFailure(const refusal& cause);

/// @param cancelled outcome of a DELETE, nothing for a GET
/// @returns the response for a job that is still running
http_response RunningResponse(std::optional<cancel_outcome> cancelled);

/// @returns the response to a single request
http_response RequestResponse(const job_result& answer);

/// @returns the response to a job
http_response JobResponse(const job_result& answer);

}  // namespace almond

#endif  // ALMOND_PROCESSES_ENTRY_CODEC_H_
