#include "libalmond/processes/entry_codec.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "libalmond/core/json_text.h"

namespace almond {
namespace {

using nlohmann::json;

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::string_view kJobsPrefix = "/v1/jobs/";
constexpr std::size_t kMaxNameBytes = 200;

refusal NotRunRefusal(refusal_reason reason, std::string detail) {
  return {reason, run_outcome::not_run, std::move(detail)};
}

/// Reads a header that may occur at most once.
std::variant<std::string, refusal> SingleHeader(const http_request& request,
                                                const std::string& name) {
  const auto values = HeaderValues(request.headers, name);
  if (values.size() > 1) {
    return NotRunRefusal(refusal_reason::bad_header, name + " is given twice");
  }
  return values.empty() ? std::string() : values.front();
}

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return value;
}

std::optional<refusal> ReadTimeout(const std::string& text,
                                   request_context& context) {
  if (text.empty()) return std::nullopt;
  constexpr std::uint64_t kMaxTimeout = 86'400'000;
  const auto value = ParseNumber(text);
  if (!value || *value == 0 || *value > kMaxTimeout) {
    return NotRunRefusal(
        refusal_reason::bad_header,
        "Almond-Timeout-Ms is a number of milliseconds from 1 to "
        "86400000");
  }
  context.timeout = milliseconds(*value);
  return std::nullopt;
}

std::optional<refusal> ReadSubmission(const std::string& text,
                                      request_context& context) {
  if (text.empty()) return std::nullopt;
  context.submission = uuid::Parse(text);
  if (context.submission && context.submission->IsV7()) return std::nullopt;
  return NotRunRefusal(refusal_reason::bad_submission_id,
                       "Almond-Submission is a version 7 UUID");
}

std::optional<refusal> ReadHeaders(const http_request& request,
                                   request_context& context) {
  std::map<std::string, std::string> values;
  for (const char* name : {"Almond-Submission", "Almond-Timeout-Ms",
                           "Almond-Kind", "Almond-Team"}) {
    auto value = SingleHeader(request, name);
    if (auto* refused = std::get_if<refusal>(&value)) return *refused;
    values[name] = std::get<std::string>(value);
    if (values[name].size() > kMaxNameBytes) {
      return NotRunRefusal(refusal_reason::bad_header,
                           std::string(name) + " is too long");
    }
  }
  context.kind = request_kind(values["Almond-Kind"]);
  context.team = team_id(values["Almond-Team"]);
  if (auto refused = ReadTimeout(values["Almond-Timeout-Ms"], context)) {
    return refused;
  }
  return ReadSubmission(values["Almond-Submission"], context);
}

bool ReadCount(const json& object, const char* key, std::uint64_t& value) {
  if (!object.contains(key)) return true;
  if (!object[key].is_number_unsigned()) return false;
  value = object[key].get<std::uint64_t>();
  return value <= UINT32_MAX;
}

std::optional<refusal> ReadTask(const json& object, std::size_t index,
                                request_context& context) {
  const std::string task_path = "tasks[" + std::to_string(index) + "]";
  if (!object.is_object() || !object.contains("body") ||
      !object["body"].is_string()) {
    return NotRunRefusal(refusal_reason::bad_request,
                         task_path + ".body is a string");
  }
  std::uint64_t declared = 0;
  std::uint64_t cpu = 0;
  std::uint64_t memory = 0;
  if (!ReadCount(object, "declared_ms", declared) ||
      !ReadCount(object, "cpu_milli", cpu) ||
      !ReadCount(object, "memory_mib", memory)) {
    return NotRunRefusal(refusal_reason::bad_request,
                         task_path +
                             ": declared_ms, cpu_milli and memory_mib are "
                             "numbers from 0 to 4294967295");
  }
  task_request task;
  task.body = object["body"].get<std::string>();
  task.size.run_time = milliseconds(declared);
  task.size.cpu_milli = static_cast<std::uint32_t>(cpu);
  task.size.memory_mib = static_cast<std::uint32_t>(memory);
  context.tasks.push_back(std::move(task));
  return std::nullopt;
}

/// @returns true if the text is valid UTF-8. Needed because the JSON parser
///   reports invalid UTF-8 as a syntax error.
bool IsUtf8(const std::string& text) {
  try {
    const json probe = text;
    return !probe.dump().empty();
  } catch (const json::exception&) {
    return false;
  }
}

std::optional<refusal> ReadJob(const std::string& body,
                               request_context& context) {
  if (IsNestedTooDeeply(body)) {
    return NotRunRefusal(refusal_reason::bad_json,
                         "the body is nested too deeply");
  }
  const json object = ParseJson(body);
  if (object.is_discarded()) {
    if (!IsUtf8(body)) {
      return NotRunRefusal(refusal_reason::bad_utf8, "the body is not UTF-8");
    }
    return NotRunRefusal(refusal_reason::bad_json, "the body is not JSON");
  }
  if (!object.is_object() || !object.contains("tasks") ||
      !object["tasks"].is_array() || object["tasks"].empty()) {
    return NotRunRefusal(refusal_reason::bad_request,
                         "tasks is a list of at least one task");
  }
  for (std::size_t i = 0; i < object["tasks"].size(); ++i) {
    if (auto refused = ReadTask(object["tasks"][i], i, context)) return refused;
  }
  return std::nullopt;
}

struct reason_status {
  refusal_reason reason;
  int status;
};

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

constexpr std::array<reason_status, kRefusalReasonCount> kStatuses = {{
    {refusal_reason::bad_request, kBadRequest},
    {refusal_reason::bad_json, kBadRequest},
    {refusal_reason::bad_utf8, kBadRequest},
    {refusal_reason::bad_header, kBadRequest},
    {refusal_reason::bad_submission_id, kBadRequest},
    {refusal_reason::unknown_service, kNotFound},
    {refusal_reason::unknown_path, kNotFound},
    {refusal_reason::unknown_job, kNotFound},
    {refusal_reason::unknown_team, kBadRequest},
    {refusal_reason::body_too_large, 413},
    {refusal_reason::too_many_tasks, 422},
    {refusal_reason::exceeds_capacity, 422},
    {refusal_reason::team_quota, 429},
    {refusal_reason::overloaded, kUnavailable},
    {refusal_reason::no_endpoint, kUnavailable},
    {refusal_reason::draining, kUnavailable},
    {refusal_reason::ledger_unavailable, kUnavailable},
    {refusal_reason::no_configuration, kUnavailable},
    {refusal_reason::submission_conflict, kConflict},
    {refusal_reason::submission_expired, 410},
    {refusal_reason::deadline_in_queue, kGatewayTimeout},
    {refusal_reason::deadline_running, kGatewayTimeout},
    {refusal_reason::cancelled, kConflict},
    {refusal_reason::task_failed, kBadGateway},
    {refusal_reason::endpoint_refused, kUnavailable},
    {refusal_reason::endpoint_lost, kBadGateway},
    {refusal_reason::agent_lost, kBadGateway},
    {refusal_reason::owner_lost, kBadGateway},
    {refusal_reason::answer_lost, kBadGateway},
}};

std::string Dump(const json& object) {
  // Invalid UTF-8 in an endpoint's response is replaced, because JSON cannot
  // represent it.
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Seconds after which a caller may retry.
constexpr const char* kRetryAfter = "1";

bool IsTransient(const refusal& refused) {
  switch (refused.reason) {
    case refusal_reason::team_quota:
    case refusal_reason::overloaded:
    case refusal_reason::no_endpoint:
    case refusal_reason::draining:
    case refusal_reason::ledger_unavailable:
    case refusal_reason::no_configuration:
    case refusal_reason::endpoint_refused:
      return refused.outcome == run_outcome::not_run;
    default:
      return false;
  }
}

void AddOutcomeHeaders(const refusal& refused, http_response& response) {
  response.headers.emplace_back("Almond-Outcome", Name(refused.outcome));
  if (IsTransient(refused)) {
    response.headers.emplace_back("Retry-After", kRetryAfter);
  }
}

json RefusalObject(const refusal& refused) {
  json object = {{"reason", Name(refused.reason)},
                 {"outcome", Name(refused.outcome)}};
  if (!refused.detail.empty()) object["detail"] = refused.detail;
  return object;
}

http_response JsonResponse(int status, const json& object) {
  return {status, {{"Content-Type", "application/json"}}, Dump(object)};
}

}  // namespace

std::variant<request_context, refusal> ParseSubmission(
    const http_request& request) {
  const std::string_view path = request.path;
  const std::size_t slash = path.find('/', kServicesPrefix.size());
  if (path.rfind(kServicesPrefix, 0) != 0 || slash == std::string_view::npos) {
    return NotRunRefusal(refusal_reason::unknown_path, request.path);
  }
  request_context context;
  context.service = service_id(std::string(
      path.substr(kServicesPrefix.size(), slash - kServicesPrefix.size())));
  const std::string_view action = path.substr(slash + 1);
  context.is_job = action == "jobs";
  if (request.method != "POST" || (!context.is_job && action != "requests")) {
    return NotRunRefusal(refusal_reason::unknown_path,
                         request.method + " " + request.path);
  }
  if (auto refused = ReadHeaders(request, context)) return *refused;
  if (!context.is_job) {
    context.tasks.push_back({request.body, {}});
    return context;
  }
  if (auto refused = ReadJob(request.body, context)) return *refused;
  return context;
}

bool IsJobPath(const std::string& path) {
  return path.rfind(kJobsPrefix, 0) == 0;
}

std::variant<uuid, refusal> ParseJobRequest(const http_request& request) {
  if (request.method != "GET" && request.method != "DELETE") {
    return NotRunRefusal(refusal_reason::unknown_path,
                         request.method + " " + request.path);
  }
  const std::string_view path = request.path;
  const auto id = uuid::Parse(path.substr(kJobsPrefix.size()));
  if (id && id->IsV7()) return *id;
  return NotRunRefusal(refusal_reason::bad_submission_id,
                       "the path ends with a version 7 UUID");
}

int HttpStatus(refusal_reason reason) {
  return kStatuses.at(static_cast<std::size_t>(reason)).status;
}

http_response RefusalResponse(const refusal& refused) {
  http_response response =
      JsonResponse(HttpStatus(refused.reason), RefusalObject(refused));
  AddOutcomeHeaders(refused, response);
  return response;
}

bool IsJobFailure(const refusal& cause) {
  // A job may itself have failed as `ledger-unavailable`, but then its outcome
  // is "not-run".
  return cause.reason != refusal_reason::unknown_job &&
         (cause.reason != refusal_reason::ledger_unavailable ||
          cause.outcome == run_outcome::not_run);
}

http_response RunningResponse(std::optional<cancel_outcome> cancelled) {
  if (!cancelled) return JsonResponse(202, {{"state", "running"}});
  if (*cancelled == cancel_outcome::cancelling) {
    return JsonResponse(202, {{"state", "cancelling"}});
  }
  const std::string_view outcome = Name(run_outcome::unknown);
  http_response response =
      JsonResponse(kConflict, {{"state", "running"},
                               {"reason", "runs-elsewhere"},
                               {"outcome", outcome}});
  response.headers.emplace_back("Almond-Outcome", outcome);
  return response;
}

http_response RequestResponse(const job_result& answer) {
  if (const auto* failed = std::get_if<job_failure>(&answer)) {
    return RefusalResponse(failed->cause);
  }
  return {200,
          {{"Content-Type", "application/octet-stream"}},
          std::get<job_success>(answer).bodies.front()};
}

http_response JobResponse(const job_result& answer) {
  if (const auto* complete = std::get_if<job_success>(&answer)) {
    json object = {{"state", "complete"}, {"results", json::array()}};
    for (const std::string& body : complete->bodies) {
      object["results"].push_back({{"status", 200}, {"body", body}});
    }
    return JsonResponse(200, object);
  }
  const auto& failed = std::get<job_failure>(answer);
  json object = RefusalObject(failed.cause);
  object["state"] = "failed";
  object["tasks"] = json::array();
  for (const auto& [index, failure] : failed.tasks) {
    json task = RefusalObject(failure);
    task["index"] = index;
    object["tasks"].push_back(std::move(task));
  }
  http_response response =
      JsonResponse(HttpStatus(failed.cause.reason), object);
  AddOutcomeHeaders(failed.cause, response);
  return response;
}

}  // namespace almond
