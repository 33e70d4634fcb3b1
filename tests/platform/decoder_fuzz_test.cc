#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "libalmond/processes/endpoint_codec.h"
#include "libalmond/processes/entry_codec.h"
#include "platform/config_codec.h"
#include "platform/endpoint_codec.h"
#include "platform/job_codec.h"

namespace almond::platform {
namespace {

constexpr std::uint64_t kSeed = 20261207;
constexpr int kBodies = 5000;

/// Replaces a part of a text. Position and length are fractions of the text.
struct edit {
  std::size_t position;
  std::size_t length;
  std::string text;
};

/// Bodies that outer listeners accept, and random changes of them.
class decoder_fuzz_fixture {
 protected:
  static rc::Gen<edit> Edit() {
    const auto token = rc::gen::element<std::string>(
        "", "{", "}", "[", "]", ",", ":", "\"", "\\", "0", "-1", "1e999",
        "18446744073709551616", "9223372036854775807", "4294967295",
        "2147483648", "1.5", "null", "true", "\"\\ud800\"", "\"\xff\"", "{}",
        "[]", "\"\"", std::string(5000, '['),
        std::string(31, '[') + std::string(31, ']'),
        "\"" + std::string(300, 'x') + "\"", std::string(1, '\0'));
    return rc::gen::map(
        rc::gen::tuple(
            rc::gen::inRange<std::size_t>(0, 1000),
            rc::gen::inRange<std::size_t>(0, 12),
            rc::gen::oneOf(token, rc::gen::arbitrary<std::string>())),
        [](const std::tuple<std::size_t, std::size_t, std::string>& parts) {
          return edit{std::get<0>(parts), std::get<1>(parts),
                      std::get<2>(parts)};
        });
  }
  static std::string Apply(std::string text, const std::vector<edit>& edits) {
    for (const edit& change : edits) {
      const std::size_t at = change.position * text.size() / 1000;
      text.replace(at, std::min(change.length, text.size() - at), change.text);
    }
    return text;
  }
  /// Calls the decoder with changed bodies. The numbers are the same in each
  /// run.
  /// @param valid a body that the decoder accepts
  static void Fuzz(const std::string& valid,
                   const std::function<void(const std::string&)>& decode) {
    constexpr std::size_t kMaxEdits = 4;
    const auto edits = rc::gen::container<std::vector<edit>>(Edit());
    rc::Random random(kSeed);
    for (int i = 0; i < kBodies; ++i) {
      const auto changes =
          edits(random.split(), 1 + static_cast<int>(i % kMaxEdits)).value();
      const std::string body = Apply(valid, changes);
      CAPTURE(body);
      REQUIRE_NOTHROW(decode(body));
    }
  }
  static http_request Request(const std::string& method,
                              const std::string& path,
                              const std::string& body) {
    http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    return request;
  }
};

// Guards against a client that ends a process with a body that no client inside
// the limits sends.
TEST_CASE_METHOD(decoder_fuzz_fixture,
                 "job decoder / random changes of a job / no exception") {
  route rule;
  rule.timeout = milliseconds(1500);
  job_context context;
  context.rule = &rule;
  context.name = "5c0e7a21d94b36f8";
  const job_interface jobs = MakeJobInterface();
  Fuzz(R"({"spec":"x","best_effort":true,"steps":[{"count":4,"cpu":500,)"
       R"("mem_mb":8,"est_ms":90},{"count":1,"after":[0],"gang":true}]})",
       [&](const std::string& body) {
         const auto decoded =
             jobs.decode_job(Request("POST", "/x", body), context);
         if (const auto* refused = std::get_if<refusal>(&decoded)) {
           jobs.encode_refusal(*refused);
         }
       });
}

TEST_CASE_METHOD(decoder_fuzz_fixture,
                 "request decoder / random paths and headers / no exception") {
  const job_interface jobs = MakeJobInterface();
  Fuzz("/queue/5c0e7a21d94b36f8", [&](const std::string& text) {
    http_request request = Request("POST", text, "");
    request.headers = {{"Host", text}, {"X-Almondproxy-Deadline-Ms", text}};
    const job_context context = jobs.decode_request(request);
    jobs.encode_refusal(
        {refusal_reason::unknown_path, run_outcome::not_run, "no route"});
    CHECK(context.path == text);
  });
}

TEST_CASE_METHOD(decoder_fuzz_fixture,
                 "announcement decoder / random changes / no exception") {
  Fuzz(R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
       R"("seq":4,"born":17,"clock_ms":99,"available":{"cpu":16000,)"
       R"("mem_mb":10,"gpu":0}})",
       [](const std::string& body) {
         DecodeEndpointCall(Request("PUT", "/almondproxy/instances/i-1", body),
                            service_id("s"));
       });
}

TEST_CASE_METHOD(decoder_fuzz_fixture,
                 "run list decoder / random changes / no exception") {
  Fuzz(R"({"born":17,"clock_ms":9,"running":[["5c0e.0.1.2",1,0,50]],)"
       R"("ended":[[4,"5c0e.0.1.2",1,"done",0]]})",
       [](const std::string& body) {
         DecodeRunLists(body);
         DecodeMinionAnswer(body);
       });
}

TEST_CASE_METHOD(decoder_fuzz_fixture,
                 "configuration decoder / random changes / no exception") {
  Fuzz(R"({"version":7,"services":[{"name":"s"}],"routes":[{"name":"r",)"
       R"("host":"a","path_prefix":"/x/","timeout_ms":1500,"service":"s",)"
       R"("slo_ms":60,"priority":2,"attempts":3,"stretch":1.6}],"limits":{}})",
       [](const std::string& body) {
         const auto decoded = DecodeConfig(body);
         if (const auto* config = std::get_if<route_config>(&decoded)) {
           CheckRoutes(*config);
         }
       });
}

TEST_CASE_METHOD(decoder_fuzz_fixture,
                 "submission decoder / random changes / no exception") {
  Fuzz(R"({"tasks":[{"body":"text","declared_ms":5,"cpu_milli":7,)"
       R"("memory_mib":9},{"body":""}]})",
       [](const std::string& body) {
         http_request request = Request("POST", "/v1/services/s/jobs", body);
         request.headers = {{"Almond-Timeout-Ms", body.substr(0, 20)},
                            {"Almond-Kind", body.substr(0, 9)}};
         const auto decoded = ParseSubmission(request);
         if (const auto* refused = std::get_if<refusal>(&decoded)) {
           RefusalResponse(*refused);
         }
         ParseSubmission(Request("POST", "/v1/services/s/jobs", body));
         ParseJobRequest(Request("GET", "/v1/jobs/" + body, ""));
       });
}

TEST_CASE_METHOD(decoder_fuzz_fixture,
                 "endpoint decoder / random changes / no exception") {
  Fuzz(R"({"service":"s","url":"http://127.0.0.1:9001","slots":8,)"
       R"("cpu_milli":16000,"memory_mib":32768,"controls":["pause","stop"]})",
       [](const std::string& body) { ParseEndpointAnnouncement(body); });
}

// Guards against a sum of counts that wraps around and passes the limit.
TEST_CASE_METHOD(decoder_fuzz_fixture,
                 "job decoder / counts that add up to more than 2^32 / "
                 "refused") {
  route rule;
  job_context context;
  context.rule = &rule;
  context.name = "5c0e7a21d94b36f8";
  constexpr std::size_t kSteps = 429'497;  // of 10,000 tasks each
  std::string body = R"({"best_effort":true,"steps":[{"count":10000})";
  for (std::size_t i = 1; i < kSteps; ++i) body += R"(,{"count":10000})";
  body += "]}";
  const auto decoded =
      MakeJobInterface().decode_job(Request("POST", "/x", body), context);
  CHECK(std::holds_alternative<refusal>(decoded));
}

}  // namespace
}  // namespace almond::platform
