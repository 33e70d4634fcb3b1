#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>

#include "platform/config_codec.h"
#include "platform/endpoint_codec.h"
#include "platform/job_codec.h"
#include "platform/json_fields.h"

namespace almond::platform {
namespace {

using nlohmann::json;

/// Valid bodies that other processes send, to be changed by each test.
class malformed_input_fixture {
 protected:
  static constexpr std::uint64_t kHuge =
      std::numeric_limits<std::uint64_t>::max();
  static constexpr std::int64_t kLargest =
      std::numeric_limits<std::int64_t>::max();

  /// Adds a field that no decoder reads, with deeply nested arrays.
  static std::string WithDeepField(const json& body) {
    std::string text = body.dump();
    constexpr std::size_t kLevels = 100000;
    text.back() = ',';
    return text + "\"extra\":" + std::string(kLevels, '[') +
           std::string(kLevels, ']') + "}";
  }
  static json Announcement() {
    return {{"service", "s"}, {"address", "10.0.0.1:80"},
            {"zone", "z"},    {"state", "ready"},
            {"seq", 4},       {"born", 17},
            {"clock_ms", 99}, {"available", {{"cpu", 16000}, {"mem_mb", 10}}}};
  }
  static bool AnnouncementAccepted(const std::string& body) {
    http_request request;
    request.method = "PUT";
    request.path = "/almondproxy/instances/i-1";
    request.body = body;
    return std::holds_alternative<decoded_announcement>(
        DecodeEndpointCall(request, service_id("s")));
  }
  static json Config() {
    return json::parse(
        R"({"version":7,"services":[{"name":"s"}],"routes":[{"name":"r",)"
        R"("host":"a","path_prefix":"/x/","timeout_ms":1500,"service":"s",)"
        R"("attempts":3,"stretch":1.6}]})");
  }
  static bool ConfigAccepted(const std::string& body) {
    return std::holds_alternative<route_config>(DecodeConfig(body));
  }
  static json Job() {
    return {{"spec", "x"},
            {"best_effort", true},
            {"steps", {{{"count", 4}, {"cpu", 500}, {"est_ms", 90}}}}};
  }
  std::variant<job_request, refusal> DecodeJob(const std::string& body) {
    rule_.timeout = milliseconds(1500);
    job_context context;
    context.rule = &rule_;
    context.name = "5c0e7a21d94b36f8";
    http_request request;
    request.headers = headers_;
    request.body = body;
    return MakeJobInterface().decode_job(request, context);
  }
  bool JobAccepted(const std::string& body) {
    return std::holds_alternative<job_request>(DecodeJob(body));
  }

  route rule_;
  http_headers headers_;
};

// Guards against processes that end, or stop following a list, because of one
// deeply nested body.
TEST_CASE_METHOD(malformed_input_fixture,
                 "malformed input / nested deeply / refused by each decoder") {
  REQUIRE(AnnouncementAccepted(Announcement().dump()));
  CHECK_FALSE(AnnouncementAccepted(WithDeepField(Announcement())));
  REQUIRE(ConfigAccepted(Config().dump()));
  CHECK_FALSE(ConfigAccepted(WithDeepField(Config())));
  REQUIRE(JobAccepted(Job().dump()));
  CHECK_FALSE(JobAccepted(WithDeepField(Job())));
  const json lists = {{"running", json::array()}, {"ended", json::array()}};
  REQUIRE(DecodeRunLists(lists.dump()));
  CHECK_FALSE(DecodeRunLists(WithDeepField(lists)));
  const json answer = {{"clock_ms", 5}, {"reason", "fence"}};
  REQUIRE(DecodeMinionAnswer(answer.dump()).reason == "fence");
  CHECK(DecodeMinionAnswer(WithDeepField(answer)).reason.empty());
}

// Guards against sums that overflow, and against one announcement that makes
// all later ones look outdated.
TEST_CASE_METHOD(malformed_input_fixture,
                 "malformed input / number too large / announcement refused") {
  const json value = GENERATE(json(kHuge), json(kLargest), json(1e300),
                              json(-1), json(std::int64_t{1} << 53U));
  for (const char* field : {"born", "seq", "clock_ms"}) {
    json body = Announcement();
    body[field] = value;
    CHECK_FALSE(AnnouncementAccepted(body.dump()));
  }
  for (const char* field : {"cpu", "mem_mb", "gpu"}) {
    json body = Announcement();
    body["available"][field] = value;
    CHECK_FALSE(AnnouncementAccepted(body.dump()));
  }
  const std::string digits(400, '9');
  std::string text = Announcement().dump();
  text.replace(text.find("16000"), 5, digits);
  CHECK_FALSE(AnnouncementAccepted(text));
}

// Guards against an address whose port is taken modulo 65536 or is 0.
TEST_CASE_METHOD(malformed_input_fixture,
                 "malformed input / port out of range / announcement refused") {
  const std::string port =
      GENERATE(as<std::string>(), "0", "65536", "65616", "-1", "+80", "8080x",
               "99999999999999999999", "");
  json body = Announcement();
  body["address"] = "10.0.0.1:" + port;
  CHECK_FALSE(AnnouncementAccepted(body.dump()));
}

// Guards against an announcement that fills the memory of the agent.
TEST_CASE_METHOD(malformed_input_fixture,
                 "malformed input / very long announcement / refused") {
  json body = Announcement();
  body["labels"] = json::array();
  for (int i = 0; i < 50000; ++i) body["labels"].push_back(0);
  CHECK_FALSE(AnnouncementAccepted(body.dump()));
}

// Guards against run numbers that are taken modulo 2^32.
TEST_CASE_METHOD(malformed_input_fixture,
                 "malformed input / number too large / run is not taken for "
                 "another") {
  const auto lists = DecodeRunLists(
      R"({"running":[["a.0.0.1",4294967298,"",4294967297]],)"
      R"("ended":[[58,"a.0.0.2",18446744073709551615,"done",""]]})");
  REQUIRE(lists);
  CHECK_FALSE(lists->running.at(0).key);
  CHECK(lists->running.at(0).percent == 100);
  CHECK_FALSE(lists->ended.at(0).key);
  CHECK_FALSE(
      DecodeRunLists(R"({"running":[],"ended":)"
                     R"([[18446744073709551615,"a.0.0.2",1,"done"]]})"));
  CHECK_FALSE(DecodeMinionAnswer(R"({"clock_ms":9223372036854775807})").clock);
}

// Guards against deadlines that overflow and then have passed at once.
TEST_CASE_METHOD(malformed_input_fixture,
                 "malformed input / long durations / shortened") {
  headers_ = {{"x-almondproxy-deadline-ms", "9223372036854775807"}};
  json body = Job();
  body["steps"][0]["est_ms"] = kMaxNumber;
  const auto decoded = DecodeJob(body.dump());
  REQUIRE(std::holds_alternative<job_request>(decoded));
  const auto& job = std::get<job_request>(decoded);
  CHECK(job.timeout == kMaxDuration);
  CHECK(job.steps.at(0).estimate == kMaxDuration);
  json config = Config();
  config["routes"][0]["timeout_ms"] = kMaxNumber;
  const auto routes = DecodeConfig(config.dump());
  REQUIRE(std::holds_alternative<route_config>(routes));
  CHECK(std::get<route_config>(routes).routes.at(0).timeout == kMaxDuration);
}

// Guards against a job or a route whose numbers wrap around.
TEST_CASE_METHOD(malformed_input_fixture,
                 "malformed input / number too large / job and configuration "
                 "refused") {
  const json value = GENERATE(json(kHuge), json(kLargest), json(1e300));
  for (const char* field : {"count", "cpu", "mem_mb", "gpu", "est_ms"}) {
    json body = Job();
    body["steps"][0][field] = value;
    CHECK_FALSE(JobAccepted(body.dump()));
  }
  for (const char* field :
       {"timeout_ms", "slo_ms", "priority", "attempts", "stretch"}) {
    json body = Config();
    body["routes"][0][field] = value;
    CHECK_FALSE(ConfigAccepted(body.dump()));
  }
  json version = Config();
  version["version"] = value;
  CHECK_FALSE(ConfigAccepted(version.dump()));
}

}  // namespace
}  // namespace almond::platform
