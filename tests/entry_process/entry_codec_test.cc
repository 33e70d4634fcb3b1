#include "libalmond/processes/entry_codec.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

const std::string kId = "01890a5d-ac96-774b-bcce-b302099a8057";

struct bad_request_case {
  const char* name;
  http_request request;
  refusal_reason reason;
};

http_request Job(std::string body, http_headers headers = {}) {
  return {"POST", "/v1/services/s/jobs", "", std::move(headers),
          std::move(body)};
}

http_request Plain(http_headers headers) {
  return {"POST", "/v1/services/s/requests", "", std::move(headers), "x"};
}

std::vector<bad_request_case> BadRequests() {
  const std::string deep(100000, '[');
  return {
      {"empty body", Job(""), refusal_reason::bad_json},
      {"truncated", Job(R"({"tasks":[{"body":"a")"), refusal_reason::bad_json},
      {"not JSON", Job("tasks=1"), refusal_reason::bad_json},
      {"not UTF-8", Job("{\"tasks\":[{\"body\":\"\xFF\"}]}"),
       refusal_reason::bad_utf8},
      {"nested deeply", Job(deep), refusal_reason::bad_json},
      {"nested deeply in an object", Job(R"({"tasks":)" + deep),
       refusal_reason::bad_json},
      {"list", Job("[]"), refusal_reason::bad_request},
      {"no tasks", Job("{}"), refusal_reason::bad_request},
      {"empty job", Job(R"({"tasks":[]})"), refusal_reason::bad_request},
      {"task without body", Job(R"({"tasks":[{}]})"),
       refusal_reason::bad_request},
      {"body is a number", Job(R"({"tasks":[{"body":1}]})"),
       refusal_reason::bad_request},
      {"negative size", Job(R"({"tasks":[{"body":"","cpu_milli":-1}]})"),
       refusal_reason::bad_request},
      {"huge size", Job(R"({"tasks":[{"body":"","memory_mib":4294967296}]})"),
       refusal_reason::bad_request},
      {"number out of range",
       Job(R"({"tasks":[{"body":"","cpu_milli":1e999}]})"),
       refusal_reason::bad_json},
      {"fraction", Job(R"({"tasks":[{"body":"","declared_ms":1.5}]})"),
       refusal_reason::bad_request},
      {"bad UUID", Plain({{"Almond-Submission", "x"}}),
       refusal_reason::bad_submission_id},
      {"UUID of version 4",
       Plain({{"Almond-Submission", "01890a5d-ac96-474b-bcce-b302099a8057"}}),
       refusal_reason::bad_submission_id},
      {"doubled id",
       Plain({{"Almond-Submission", kId}, {"almond-submission", kId}}),
       refusal_reason::bad_header},
      {"doubled kind", Plain({{"Almond-Kind", "a"}, {"ALMOND-KIND", "b"}}),
       refusal_reason::bad_header},
      {"timeout 0", Plain({{"Almond-Timeout-Ms", "0"}}),
       refusal_reason::bad_header},
      {"timeout with unit", Plain({{"Almond-Timeout-Ms", "5s"}}),
       refusal_reason::bad_header},
      {"timeout huge", Plain({{"Almond-Timeout-Ms", "99999999999999999999"}}),
       refusal_reason::bad_header},
      {"team too long", Plain({{"Almond-Team", std::string(201, 't')}}),
       refusal_reason::bad_header},
      {"unknown path",
       {"POST", "/v1/other", "", {}, ""},
       refusal_reason::unknown_path},
      {"unknown action",
       {"POST", "/v1/services/s/x", "", {}, ""},
       refusal_reason::unknown_path},
      {"no action",
       {"POST", "/v1/services/s", "", {}, ""},
       refusal_reason::unknown_path},
      {"short path", {"POST", "/", "", {}, ""}, refusal_reason::unknown_path},
      {"wrong method",
       {"GET", "/v1/services/s/jobs", "", {}, ""},
       refusal_reason::unknown_path},
  };
}

// Guards against invalid input that is accepted, crashes the entry, or is
// refused with a misleading reason.
TEST_CASE("entry codec / invalid submission / refused with its reason") {
  for (const auto& row : BadRequests()) {
    INFO(row.name);
    const auto parsed = ParseSubmission(row.request);
    REQUIRE(std::holds_alternative<refusal>(parsed));
    CHECK(std::get<refusal>(parsed).reason == row.reason);
    CHECK(std::get<refusal>(parsed).outcome == run_outcome::not_run);
  }
}

// Guards against invalid ids and methods that reach the controllers.
TEST_CASE("entry codec / job path / method and id are checked") {
  const std::string path = "/v1/jobs/" + kId;
  CHECK(
      std::holds_alternative<uuid>(ParseJobRequest({"GET", path, "", {}, ""})));
  CHECK(std::holds_alternative<uuid>(
      ParseJobRequest({"DELETE", path, "", {}, ""})));
  const auto put = ParseJobRequest({"PUT", path, "", {}, ""});
  CHECK(std::get<refusal>(put).reason == refusal_reason::unknown_path);
  const auto bad = ParseJobRequest({"GET", "/v1/jobs/", "", {}, ""});
  CHECK(std::get<refusal>(bad).reason == refusal_reason::bad_submission_id);
}

// Guards against callers that retry at once because Retry-After is missing, and
// against Retry-After on a permanent failure.
TEST_CASE("entry codec / refusal / headers give outcome and retry") {
  const http_response busy =
      RefusalResponse({refusal_reason::overloaded, run_outcome::not_run, ""});
  CHECK(busy.status == 503);
  CHECK(HeaderValue(busy.headers, "Retry-After") == "1");
  CHECK(HeaderValue(busy.headers, "Almond-Outcome") == "not-run");
  const http_response failed =
      RefusalResponse({refusal_reason::task_failed, run_outcome::ran, ""});
  CHECK(failed.status == 502);
  CHECK(HeaderValue(failed.headers, "Retry-After").empty());
}

}  // namespace
}  // namespace almond
