#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>

#include "libalmond/processes/agent_process.h"
#include "libalmond/processes/entry_process.h"

namespace almond {
namespace {

/// One entry, one agent and a fake endpoint on one loop over loopback.
class end_to_end_fixture {
 protected:
  end_to_end_fixture()
      : entry_(
            loop_, clock_,
            {entry_id("e1"), data_centre_id("nl-west-1"), kAnyPort, kAnyPort}),
        endpoint_(loop_, [this](const http_request& request,
                                const http_server::responder& respond) {
          OnTask(request, respond);
        }) {
    data_centre_config config;
    config.services[service_id("geurmatch")].team = team_id("geurproef");
    config.teams[team_id("geurproef")];
    entry_.SetConfig(config);
    REQUIRE(entry_.Start());
    REQUIRE(endpoint_.Listen(kAnyPort));
    agent_ = std::make_unique<agent_process>(
        loop_, clock_,
        agent_settings{agent_id("a1"),
                       data_centre_id("nl-west-1"),
                       kAnyPort,
                       {entry_.PeerAddress()}});
    REQUIRE(agent_->Start());
  }

  void OnTask(const http_request& request,
              const http_server::responder& respond) {
    ++starts_[request.path];
    const std::string body = request.body;
    // Varies the delay, so that responses arrive out of order.
    const milliseconds delay(body.size() % 3 == 0 ? 5 : 1);
    loop_.Post(delay, [respond, body] { respond({200, {}, "got " + body}); });
  }

  http_response Call(const socket_address& address,
                     const http_request& request) {
    http_call_result end;
    SendHttpRequest(loop_, address, request, milliseconds(20000),
                    [&](const http_call_result& result) {
                      end = result;
                      loop_.Stop();
                    });
    loop_.Run();
    REQUIRE(end.outcome == http_call_outcome::answered);
    return end.response;
  }

  void AnnounceEndpoint() {
    const nlohmann::json body = {
        {"service", "geurmatch"},
        {"url", "http://" + endpoint_.Address().ToString()},
        {"slots", 8}};
    const http_response response = Call(
        agent_->HttpAddress(), {"PUT", "/v1/endpoint", "", {}, body.dump()});
    REQUIRE(response.status == 200);
  }

  inline static const socket_address kAnyPort{"127.0.0.1", 0};

  event_loop loop_;
  system_clock clock_;
  entry_process entry_;
  http_server endpoint_;
  std::unique_ptr<agent_process> agent_;
  std::map<std::string, int> starts_;
};

// Guards against responses that are lost, duplicated or assigned to the wrong
// task.
TEST_CASE_METHOD(end_to_end_fixture,
                 "end to end / job of 100 tasks / complete and in order") {
  AnnounceEndpoint();
  nlohmann::json job;
  for (int i = 0; i < 100; ++i) {
    job["tasks"].push_back({{"body", std::string(i, 'x')}});
  }
  const http_response response =
      Call(entry_.HttpAddress(),
           {"POST", "/v1/services/geurmatch/jobs", "", {}, job.dump()});
  REQUIRE(response.status == 200);
  const auto answer = nlohmann::json::parse(response.body);
  REQUIRE(answer["state"] == "complete");
  REQUIRE(answer["results"].size() == 100);
  for (int i = 0; i < 100; ++i) {
    CHECK(answer["results"][i]["body"] == "got " + std::string(i, 'x'));
  }
  CHECK(starts_.size() == 100);
  for (const auto& [path, count] : starts_) CHECK(count == 1);
}

// Guards against request and response bodies that are altered in transit.
TEST_CASE_METHOD(end_to_end_fixture,
                 "end to end / binary request / body unchanged") {
  AnnounceEndpoint();
  const std::string body("\x00\xFF\r\n\x01", 5);
  const http_response response =
      Call(entry_.HttpAddress(),
           {"POST", "/v1/services/geurmatch/requests", "", {}, body});
  CHECK(response.status == 200);
  CHECK(response.body == "got " + body);
}

}  // namespace
}  // namespace almond
