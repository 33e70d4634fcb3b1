#include "libalmond/processes/control_process_api.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "control/control_service_fixture.h"
#include "libalmond/processes/control_process_settings.h"

namespace almond {
namespace {

using nlohmann::json;

class control_process_api_fixture : public control_service_fixture {
 protected:
  // Sends a request and completes the proposals and reads that it causes.
  int Call(const std::string& method, const std::string& path,
           const std::string& body = "", const std::string& query = "",
           proposal_outcome end = proposal_outcome::committed) {
    response_ = {0, {}, ""};
    api_.Handle(
        {method, path, query, {}, body},
        [this](const http_response& response) { response_ = response; });
    while (!proposals_.empty()) EndProposal(end);
    RunDeferred();
    Confirm(leader_);
    return response_.status;
  }
  json Body() const { return json::parse(response_.body); }
  static json Change(int version, const std::string& base = "base: {}\n") {
    return {{"base", base},
            {"overlays", {{"nl-west-1", "a: 1\n"}}},
            {"expect_version", version},
            {"change_id",
             "01900000-0000-7000-8000-00000000000" + std::to_string(version)}};
  }
  int Post(const json& change,
           proposal_outcome end = proposal_outcome::committed) {
    return Call("POST", "/v1/config", change.dump(), "", end);
  }

  http_response response_;
  std::string leader_id_ = "c1";
  control_process_api api_{
      *service_,
      machine_,
      metrics_,
      {[this] { return leader_; }, [this] { return leader_id_; },
       [] { return "127.0.0.1:7201"; },
       [] {
         return std::vector<replica_summary>{{"c1", "leader", true, 3, 9}};
       },
       [this](const socket_address& peer) { waiting_.push_back(peer); },
       [this] { return waiting_.size(); }}};
  std::vector<socket_address> waiting_;
};

// Guards against a cluster that does not grow because the processes without a
// place are not counted.
TEST_CASE_METHOD(
    control_process_api_fixture,
    "control api / replicas asked for by a process without a place "
    "/ it is counted") {
  REQUIRE(Call("GET", "/v1/replicas") == 200);
  CHECK(Body()["waiting"] == 0);
  REQUIRE(Call("GET", "/v1/replicas", "",
               EncodeWaitingQuery({"10.0.0.8", 7720})) == 200);
  CHECK(Body()["waiting"] == 1);
  CHECK(waiting_.front() == socket_address{"10.0.0.8", 7720});
}

// Guards against outcomes that an operator's program cannot tell apart.
TEST_CASE_METHOD(control_process_api_fixture,
                 "control api / changes / each outcome has its own answer") {
  REQUIRE(Post(Change(0)) == 200);
  const std::string digest = Body()["digest"];
  CHECK(Body() == json{{"version", 1}, {"digest", digest}});
  SECTION("resend") {
    CHECK(Post(Change(0)) == 200);
    CHECK(Body()["version"] == 1);
  }
  SECTION("version conflict") {
    json late = Change(0);
    late["change_id"] = "01900000-0000-7000-8000-0000000000ff";
    CHECK(Post(late) == 409);
    CHECK(Body() == json{{"reason", "version-conflict"},
                         {"version", 1},
                         {"digest", digest}});
  }
  SECTION("change id conflict") {
    CHECK(Post(Change(0, "other: {}\n")) == 409);
    CHECK(Body() == json{{"reason", "change-id-conflict"}});
  }
  SECTION("invalid configuration") {
    CHECK(Post(Change(1, "bad")) == 422);
    CHECK(Body()["errors"][0] ==
          json{{"file", "base"}, {"key", "k"}, {"expected", "a map"}});
  }
  SECTION("not the leader") {
    leader_ = false;
    CHECK(Post(Change(1)) == 503);
    CHECK(Body() ==
          json{{"reason", "not-leader"}, {"leader", "127.0.0.1:7201"}});
  }
  SECTION("outcome unknown") {
    CHECK(Post(Change(1), proposal_outcome::unknown) == 504);
    CHECK(Body() == json{{"reason", "outcome-unknown"}});
  }
  CHECK(machine_.Config().Newest() == config_version(1));
}

// Guards against a leader that names the holders of places before it has
// applied the log, so that a replica takes its place for lost.
TEST_CASE_METHOD(control_process_api_fixture,
                 "control api / replicas before the read is confirmed / no "
                 "answer until then") {
  api_.Handle({"GET", "/v1/replicas", "", {}, ""},
              [this](const http_response& response) { response_ = response; });
  RunDeferred();
  CHECK(response_.body.empty());
  SECTION("confirmed") {
    Confirm(true);
    CHECK(response_.status == 200);
    CHECK(Body()["replicas"].size() == 1);
  }
  SECTION("leadership lost") {
    Confirm(false);
    CHECK(response_.status == 503);
  }
}

// Guards against invalid input that changes the configuration or is refused
// without a reason.
TEST_CASE_METHOD(control_process_api_fixture,
                 "control api / invalid request / reason and no change") {
  const auto refused = [this](const std::string& body, int status,
                              const std::string& reason) {
    CHECK(Call("POST", "/v1/config", body) == status);
    CHECK(Body()["reason"] == reason);
  };
  refused("", 400, "bad-json");
  refused("{\"base\":", 400, "bad-json");
  refused("{\"base\":\"\xFF\"}", 400, "bad-utf8");
  refused("[]", 400, "bad-request");
  refused(std::string(kMaxChangeBytes + 1, ' '), 413, "body-too-large");
  for (const char* field : {"base", "expect_version", "change_id"}) {
    json change = Change(0);
    change.erase(field);
    refused(change.dump(), 400, "bad-request");
    change[field] = json::array();
    refused(change.dump(), 400, "bad-request");
  }
  const std::vector<std::pair<const char*, json>> wrong = {
      {"expect_version", -1},    {"expect_version", 1.5},
      {"change_id", "1"},        {"overlays", json::array()},
      {"overlays", {{"dc", 1}}}, {"overlay", json::object()}};
  for (const auto& [field, value] : wrong) {
    json change = Change(0);
    change[field] = value;
    refused(change.dump(), 400, "bad-request");
  }
  CHECK(Call("GET", "/v1/nothing") == 404);
  CHECK(Call("PUT", "/v1/config") == 405);
  CHECK(Call("POST", "/v1/status") == 405);
  for (const char* query : {"version=", "version=0", "version=1x", "v=1",
                            "version=99999999999999999999"}) {
    CHECK(Call("GET", "/v1/config", "", query) == 400);
  }
  CHECK(machine_.Config().Newest() == config_version(0));
}

// Guards against reads that return a state other than the newest accepted one.
TEST_CASE_METHOD(control_process_api_fixture,
                 "control api / reads / return the accepted state") {
  CHECK(Call("GET", "/v1/config") == 200);
  CHECK(Body()["version"] == 0);
  Post(Change(0));
  Post(Change(1, "second: {}\n"));
  CHECK(Call("GET", "/v1/config") == 200);
  CHECK(Body()["base"] == "second: {}\n");
  CHECK(Body()["overlays"] == json{{"nl-west-1", "a: 1\n"}});
  CHECK(Call("GET", "/v1/config", "", "version=1") == 200);
  CHECK(Body()["base"] == "base: {}\n");
  CHECK(Call("GET", "/v1/config", "", "version=3") == 404);
  CHECK(Call("GET", "/v1/config/history") == 200);
  CHECK(Body()["changes"].size() == 2);
  CHECK(Body()["changes"][0]["change_id"] == Change(0)["change_id"]);
  SendHeartbeat("e1");
  CHECK(Call("GET", "/v1/status") == 200);
  CHECK(Body()["newest"] == 2);
  CHECK(Body()["processes"][0]["role"] == "entry");
  CHECK(Body()["replicas"][0]["commit_index"] == 9);
  CHECK(Call("GET", "/metrics") == 200);
  CHECK(Call("GET", "/healthz") == 200);
  leader_ = false;
  CHECK(Call("GET", "/healthz") == 200);
  CHECK(Call("GET", "/v1/config") == 503);
  CHECK(Call("GET", "/v1/config/history") == 503);
  CHECK(Call("GET", "/v1/status") == 503);
  leader_id_.clear();
  CHECK(Call("GET", "/healthz") == 503);
  CHECK(Body()["reason"] == "no-leader");
}

// Guards against a replica that starts with a partly parsed list of replicas.
TEST_CASE("control settings / list of replicas / complete or rejected") {
  const auto replicas = ParseReplicas(
      "c1=127.0.0.1:1/127.0.0.1:2,c2=127.0.0.1:3/127.0.0.1:4/127.0.0.1:5");
  REQUIRE(replicas.has_value());
  CHECK(replicas->at(1) == control_address{"c2",
                                           {"127.0.0.1", 3},
                                           {"127.0.0.1", 4},
                                           socket_address{"127.0.0.1", 5}});
  CHECK_FALSE(replicas->at(0).http.has_value());
  for (const char* text :
       {"", "c1", "c1=127.0.0.1:1", "=127.0.0.1:1/127.0.0.1:2",
        "c1=127.0.0.1:1/x", "c1=127.0.0.1:1/127.0.0.1:2,",
        "c1=127.0.0.1:1/127.0.0.1:2,c1=127.0.0.1:3/127.0.0.1:4",
        "c1=127.0.0.1:1/127.0.0.1:2/127.0.0.1:3/127.0.0.1:4"}) {
    CHECK_FALSE(ParseReplicas(text).has_value());
  }
}

// Guards against outcomes that an operator's program cannot tell apart.
TEST_CASE_METHOD(
    control_process_api_fixture,
    "control api / evacuations / each outcome has its own answer") {
  data_centres_ = {data_centre_id("north")};
  const std::string path = "/v1/evacuations/north";
  CHECK(Call("PUT", path) == 200);
  CHECK(Body() == json{{"revision", 1}});
  CHECK(Call("PUT", path) == 200);
  CHECK(Body() == json{{"revision", 1}});
  CHECK(Call("GET", "/v1/evacuations") == 200);
  CHECK(Body() == json{{"revision", 1}, {"data_centres", {"north"}}});
  CHECK(Call("GET", "/v1/status") == 200);
  CHECK(Body()["evacuations"]["data_centres"] == json{"north"});
  CHECK(Call("DELETE", path, "", "", proposal_outcome::unknown) == 504);
  CHECK(Call("DELETE", path) == 200);
  CHECK(Body() == json{{"revision", 2}});
  CHECK(Call("PUT", "/v1/evacuations/nowhere") == 404);
  CHECK(Body() == json{{"reason", "unknown-data-centre"}});
  CHECK(Call("POST", path) == 405);
  CHECK(Call("PUT", "/v1/evacuations") == 405);
  leader_ = false;
  CHECK(Call("PUT", path) == 503);
  CHECK(Body()["reason"] == "not-leader");
}

}  // namespace
}  // namespace almond
