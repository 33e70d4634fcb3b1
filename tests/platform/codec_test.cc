#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/config_codec.h"
#include "platform/endpoint_codec.h"
#include "platform/job_codec.h"

namespace almond::platform {
namespace {

using nlohmann::json;

const std::string kId = "5c0e7a21d94b36f8";

json Job() {
  return {{"spec", "x"},
          {"best_effort", true},
          {"steps", {{{"count", 4}, {"cpu", 500}, {"est_ms", 90}}}}};
}

class job_codec_fixture {
 protected:
  job_codec_fixture() : interface_(MakeJobInterface()) {
    rule_.timeout = milliseconds(1500);
    context_.rule = &rule_;
    context_.name = kId;
  }
  std::variant<job_request, refusal> Decode(const std::string& body) {
    http_request request;
    request.headers = headers_;
    request.body = body;
    return interface_.decode_job(request, context_);
  }

  job_interface interface_;
  route rule_;
  job_context context_;
  http_headers headers_;
};

TEST_CASE_METHOD(job_codec_fixture, "job body / complete / decoded") {
  headers_ = {{"x-almondproxy-deadline-ms", "2500"}};
  const auto decoded = Decode(Job().dump());
  const auto& job = std::get<job_request>(decoded);
  CHECK(job.timeout == milliseconds(2500));
  CHECK(job.steps.at(0).count == 4);
  CHECK(job.steps.at(0).needed == resources{500, 0, 0});
  CHECK(job.steps.at(0).estimate == milliseconds(90));
}

TEST_CASE_METHOD(job_codec_fixture, "job body / malformed / refused with 400") {
  json wrong_type = Job();
  wrong_type["steps"][0]["cpu"] = "500";
  json negative = Job();
  negative["steps"][0]["cpu"] = -1;
  json no_count = Job();
  no_count["steps"][0].erase("count");
  json forward = Job();
  forward["steps"][0]["after"] = {0};
  json long_spec = Job();
  long_spec["spec"] = std::string(4001, 'x');
  const std::string whole = Job().dump();
  const std::string body = GENERATE_COPY(
      std::string(), std::string("[]"), whole.substr(0, whole.size() / 2),
      std::string("{\"spec\":\"x\"}"), wrong_type.dump(), negative.dump(),
      no_count.dump(), forward.dump(), long_spec.dump());
  const auto decoded = Decode(body);
  const auto* refused = std::get_if<refusal>(&decoded);
  REQUIRE(refused != nullptr);
  CHECK(interface_.encode_refusal(*refused).status == 400);
}

// Guards against accepting a job that requires an unsupported feature.
TEST_CASE_METHOD(job_codec_fixture,
                 "job body / unsupported feature / refused with 503") {
  json kept = Job();
  kept.erase("best_effort");
  json gang = Job();
  gang["steps"][0]["gang"] = true;
  const std::string body = GENERATE_COPY(kept.dump(), gang.dump());
  const auto decoded = Decode(body);
  const auto* refused = std::get_if<refusal>(&decoded);
  REQUIRE(refused != nullptr);
  CHECK(interface_.encode_refusal(*refused).status == 503);
}

TEST_CASE_METHOD(
    job_codec_fixture,
    "job answer / refused with a retry time / rounded up to seconds") {
  const http_response response = interface_.encode_answer(
      {job_outcome::overloaded, refusal_reason::overloaded,
       milliseconds(1200)});
  CHECK(response.status == 429);
  CHECK(HeaderValue(response.headers, "Retry-After") == "2");
}

json Announcement() {
  return {{"service", "s"}, {"address", "10.0.0.1:80"},
          {"zone", "z"},    {"state", "ready"},
          {"seq", 4},       {"born", 17},
          {"clock_ms", 99}, {"available", {{"cpu", 16000}, {"mem_mb", 100}}}};
}

std::variant<decoded_announcement, endpoint_departure, http_response> Call(
    const std::string& body) {
  http_request request;
  request.method = "PUT";
  request.path = "/almondproxy/instances/i-1";
  request.body = body;
  return DecodeEndpointCall(request, service_id("s"));
}

TEST_CASE("announcement / complete / decoded") {
  const auto decoded = Call(Announcement().dump());
  const auto& announced = std::get<decoded_announcement>(decoded);
  CHECK(announced.endpoint.incarnation == 17);
  CHECK(announced.endpoint.sequence == 4);
  CHECK(announced.endpoint.total == resources{16000, 100, 0});
  CHECK(announced.clock == milliseconds(99));
}

TEST_CASE("announcement / malformed or of another service / refused with 400") {
  json other_state = Announcement();
  other_state["state"] = "resting";
  json other_service = Announcement();
  other_service["service"] = "t";
  json wrong_type = Announcement();
  wrong_type["seq"] = "4";
  json no_resources = Announcement();
  no_resources.erase("available");
  json no_address = Announcement();
  no_address["address"] = "nowhere";
  const std::string body = GENERATE_COPY(
      std::string("\xff"), other_state.dump(), other_service.dump(),
      wrong_type.dump(), no_resources.dump(), no_address.dump());
  const auto decoded = Call(body);
  REQUIRE(std::holds_alternative<http_response>(decoded));
  CHECK(std::get<http_response>(decoded).status == 400);
}

TEST_CASE("task name / encoded from a key / decoded to the same key") {
  const run_key key{job_id(kId), 0, 1, 17, 2};
  CHECK(TaskName(key) == kId + ".0.1.17");
  CHECK(ParseTaskName(TaskName(key), 2) == key);
  for (const char* name : {"", "x", "x.0.1", "x.0.1.2.3", "x.0.a.1"}) {
    CHECK_FALSE(ParseTaskName(name, 1));
  }
}

TEST_CASE("lists of runs / well-formed or malformed / decoded or refused") {
  const auto lists = DecodeRunLists(
      R"({"clock_ms":1,"born":17,"running":[["a.0.0.1",2,"",41],["odd",1,"",0]],)"
      R"("ended":[[58,"a.0.0.2",1,"done",""],[59,"a.0.0.3",1,"lapsed",""]]})");
  REQUIRE(lists);
  CHECK(lists->incarnation == 17);
  REQUIRE(lists->running.size() == 2);
  CHECK(lists->running[0].key == run_key{job_id("a"), 0, 0, 1, 2});
  CHECK(lists->running[0].percent == 41);
  CHECK_FALSE(lists->running[1].key);
  REQUIRE(lists->ended.size() == 2);
  CHECK(lists->ended[0].sequence == 58);
  CHECK(lists->ended[0].kind == run_end_kind::done);
  CHECK(lists->ended[1].kind == run_end_kind::lost);
  CHECK_FALSE(DecodeRunLists("{}"));
  CHECK_FALSE(DecodeRunLists(R"({"running":[1],"ended":[]})"));
}

TEST_CASE("configuration / fields of wrong types / all reported") {
  const auto decoded = DecodeConfig(
      R"({"version":"7","services":[1],"routes":[{"host":"a","path_prefix":3}]})");
  CHECK(std::get<std::vector<std::string>>(decoded).size() == 3);
  CHECK(std::holds_alternative<std::vector<std::string>>(
      DecodeConfig("{\"version\":7,")));
}

TEST_CASE("configuration / complete / decoded") {
  const auto decoded = DecodeConfig(
      R"({"version":7,"services":[{"name":"s"}],"routes":[{"name":"r",)"
      R"("host":"a","path_prefix":"/x/","timeout_ms":1500,"slo_ms":60,)"
      R"("priority":2,"service":"s","attempts":3,"stretch":1.6}]})");
  const auto& config = std::get<route_config>(decoded);
  CHECK(config.version == config_version(7));
  REQUIRE(config.routes.size() == 1);
  CHECK(config.routes[0].slack == milliseconds(60));
  CHECK(config.routes[0].max_attempts == 3);
  CHECK(CheckRoutes(config).empty());
}

}  // namespace
}  // namespace almond::platform
