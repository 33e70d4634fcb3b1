#include "libalmond/processes/agent_process.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "libalmond/net/peer_listener.h"
#include "libalmond/wire/dispatch_codec.h"

namespace almond {
namespace {

/// A complete agent with a fake entry and a fake endpoint. Leases and deadlines
/// use a manual clock; real time only limits a test that hangs.
class agent_fixture {
 protected:
  agent_fixture()
      : entry_(
            loop_, system_,
            [this](const std::shared_ptr<peer_link>& link) {
              received_.clear();
              grants_.clear();
              link_ = link;
              link->Start({[this](const frame& encoded) { OnFrame(encoded); },
                           [](const std::string&) {}});
            }),
        endpoint_(std::make_unique<http_server>(
            loop_, [this](const http_request& request,
                          const http_server::responder& respond) {
              OnEndpoint(request, respond);
            })) {
    REQUIRE(entry_.Listen(kAnyPort));
    REQUIRE(endpoint_->Listen(kAnyPort));
    agent_ =
        std::make_unique<agent_process>(loop_, clock_,
                                        agent_settings{agent_id("a1"),
                                                       data_centre_id("d1"),
                                                       kAnyPort,
                                                       {entry_.Address()}});
    REQUIRE(agent_->Start());
    RunUntil([this] { return link_ != nullptr; });
  }

  // Completes calls in progress, because only their completion frees the memory
  // that they own.
  ~agent_fixture() {
    if (endpoint_) {
      for (const auto& respond : tasks_) respond({200, {}, ""});
    }
    loop_.Post(milliseconds(20), [this] { loop_.Stop(); });
    loop_.Run();
  }

  void OnFrame(const frame& encoded) {
    const auto message = DecodeAgentMessage(encoded);
    REQUIRE(message);
    received_.push_back(*message);
    if (const auto* grant = std::get_if<grant_message>(&*message)) {
      grants_.insert(grants_.end(), grant->grants.begin(), grant->grants.end());
    }
  }

  void OnEndpoint(const http_request& request,
                  const http_server::responder& respond) {
    calls_.push_back(request.path);
    const bool control =
        std::count(request.path.begin(), request.path.end(), '/') > 2;
    if (control) {
      respond({200, {}, "{}"});
    } else {
      // Responds only once: the fixture's destructor responds to all tasks.
      tasks_.push_back([respond, sent = std::make_shared<bool>(false)](
                           const http_response& response) {
        if (!std::exchange(*sent, true)) respond(response);
      });
    }
  }

  void RunUntil(const std::function<bool()>& condition) {
    bool met = false;
    const auto poll = loop_.Every(milliseconds(1), [&] {
      met = condition();
      if (met) loop_.Stop();
    });
    const auto guard =
        loop_.After(std::chrono::seconds(20), [this] { loop_.Stop(); });
    loop_.Run();
    REQUIRE(met);
  }

  http_response Call(const std::string& method, const std::string& path,
                     const std::string& body = "") {
    std::optional<http_call_result> end;
    SendHttpRequest(loop_, agent_->HttpAddress(), {method, path, "", {}, body},
                    milliseconds(10000),
                    [&](const http_call_result& result) { end = result; });
    RunUntil([&] { return end.has_value(); });
    return end->response;
  }

  nlohmann::json Announcement() const {
    return {{"service", "geurmatch"},
            {"url", "http://" + endpoint_->Address().ToString()},
            {"slots", 2},
            {"controls", {"pause", "resume", "stop"}}};
  }

  void Announce() {
    REQUIRE(Call("PUT", "/v1/endpoint", Announcement().dump()).status == 200);
  }

  void AwaitGrants(std::size_t count) {
    RunUntil([&] { return grants_.size() >= count; });
  }

  task_name SendStart(std::uint32_t index) {
    AwaitGrants(1);
    start_message start;
    start.grant = grants_.back();
    grants_.pop_back();
    start.name = {submission_, index};
    start.time_left = milliseconds(60000);
    start.body = "x";
    link_->Send(EncodeEntryMessage(start));
    return start.name;
  }

  void AwaitTasks(std::size_t count) {
    RunUntil([&] { return tasks_.size() >= count; });
  }

  template <typename Message>
  Message Await() {
    std::optional<Message> found;
    RunUntil([&] {
      for (const auto& message : received_) {
        if (const auto* match = std::get_if<Message>(&message)) found = *match;
      }
      return found.has_value();
    });
    return *found;
  }

  task_report Query(const task_name& name) {
    query_message query;
    query.names = {name};
    query.fence = true;
    query.incarnation = agent_->Incarnation();
    link_->Send(EncodeEntryMessage(query));
    return Await<query_answer_message>().tasks.at(0);
  }

  inline static const socket_address kAnyPort{"127.0.0.1", 0};

  event_loop loop_;
  system_clock system_;
  manual_clock clock_;
  std::mt19937_64 random_{1};
  uuid submission_ = uuid::MakeV7(clock_.WallNow(), random_);
  peer_listener entry_;
  std::shared_ptr<peer_link> link_;
  std::vector<agent_message> received_;
  std::vector<grant_id> grants_;
  std::unique_ptr<http_server> endpoint_;
  std::vector<std::string> calls_;
  std::vector<http_server::responder> tasks_;
  std::unique_ptr<agent_process> agent_;
};

// Guards against an invalid announcement that is accepted, or refused without
// the name of the invalid field.
TEST_CASE_METHOD(agent_fixture,
                 "agent process / invalid announcement / refused with the "
                 "field's name") {
  using nlohmann::json;
  struct fault_case {
    const char* field;
    json value;
    const char* reason;
  };
  const std::vector<fault_case> rows = {
      {"service", 5, "bad-request"},
      {"service", "", "bad-request"},
      {"url", "ftp://127.0.0.1:1", "bad-request"},
      {"url", "http://host:80", "bad-request"},
      {"url", "http://127.0.0.1:0", "bad-request"},
      {"slots", 0, "bad-request"},
      {"slots", -1, "bad-request"},
      {"slots", 4097, "bad-request"},
      {"cpu_milli", "1", "bad-request"},
      {"memory_mib", 1.5, "bad-request"},
      {"controls", "pause", "bad-request"},
      {"controls", {"sleep"}, "bad-request"},
  };
  const auto check = [this](const std::string& body, const std::string& reason,
                            const std::string& field) {
    const http_response response = Call("PUT", "/v1/endpoint", body);
    INFO(body);
    CHECK(response.status == 400);
    const json answer = json::parse(response.body);
    CHECK(answer["reason"] == reason);
    CHECK(answer["outcome"] == "not-run");
    CHECK(answer["detail"].get<std::string>().rfind(field + ":", 0) == 0);
  };
  for (const fault_case& row : rows) {
    json body = Announcement();
    body[row.field] = row.value;
    check(body.dump(), row.reason, row.field);
  }
  for (const char* missing : {"service", "url", "slots"}) {
    json body = Announcement();
    body.erase(missing);
    check(body.dump(), "bad-request", missing);
  }
  check("{", "bad-json", "body");
  check("[]", "bad-json", "body");
  check("{\"service\":\"\xff\"}", "bad-json", "body");
  CHECK(Call("DELETE", "/v1/endpoint").status == 404);
  CHECK(Call("GET", "/healthz").status == 503);
  CHECK(Call("POST", "/v1/endpoint").status == 405);
  CHECK(Call("GET", "/v2").status == 404);
}

// Guards against tasks that are sent to a deregistered endpoint because a
// periodic announcement of it arrives late.
TEST_CASE_METHOD(agent_fixture,
                 "agent process / announcement after deregistration / no tasks "
                 "for 10 s") {
  Announce();
  AwaitGrants(2);
  CHECK(Call("GET", "/healthz").status == 200);
  CHECK(Call("DELETE", "/v1/endpoint").status == 200);
  grants_.clear();
  clock_.Advance(milliseconds(2500));
  CHECK(Call("PUT", "/v1/endpoint", Announcement().dump()).body ==
        R"({"state":"leaving"})");
  received_.clear();
  CHECK(Await<announce_message>().leaving);
  CHECK(grants_.empty());
  SECTION("another service is accepted at once") {
    nlohmann::json body = Announcement();
    body["service"] = "linen-desk";
    CHECK(Call("PUT", "/v1/endpoint", body.dump()).status == 200);
  }
  SECTION("the same service is accepted after the hold time") {
    clock_.Advance(milliseconds(7500));
    Announce();
  }
  AwaitGrants(2);
}

// Guards against outcomes that the endpoint's response does not prove.
TEST_CASE_METHOD(agent_fixture,
                 "agent process / result of the endpoint call / matching "
                 "outcome") {
  Announce();
  const task_name name = SendStart(0);
  AwaitTasks(1);
  SECTION("result") {
    tasks_[0]({200, {}, "result"});
    const auto answer = Await<answer_message>();
    CHECK(answer.outcome == start_outcome::done);
    CHECK(answer.body == "result");
    CHECK(answer.name == name);
  }
  SECTION("refusal with outcome not-run") {
    tasks_[0]({503, {{"Almond-Outcome", "not-run"}}, ""});
    CHECK(Await<answer_message>().outcome == start_outcome::refused);
  }
  SECTION("failure") {
    tasks_[0]({503, {}, ""});
    CHECK(Await<answer_message>().outcome == start_outcome::failed);
  }
  SECTION("endpoint dies") {
    endpoint_.reset();
    CHECK(Await<answer_message>().outcome == start_outcome::lost);
    SendStart(1);
    received_.clear();
    CHECK(Await<answer_message>().outcome == start_outcome::not_sent);
    return;
  }
  CHECK(agent_->Controller().Running() == 0);
}

// Guards against an answer that is lost with the connection on which the start
// was received.
TEST_CASE_METHOD(agent_fixture,
                 "agent process / connection lost during a task / query "
                 "returns the answer") {
  const bool ends_before_query = GENERATE(true, false);
  Announce();
  const task_name name = SendStart(0);
  AwaitTasks(1);
  link_->Close();
  link_ = nullptr;
  if (ends_before_query) {
    tasks_[0]({200, {}, "result"});
    RunUntil([this] { return agent_->Controller().Running() == 0; });
  }
  RunUntil([this] { return link_ != nullptr; });
  const task_report report = Query(name);
  if (ends_before_query) {
    CHECK(report.state == task_state::ended);
    CHECK(report.answer.body == "result");
    return;
  }
  CHECK(report.state == task_state::running);
  tasks_[0]({200, {}, "result"});
  CHECK(Await<answer_message>().body == "result");
}

// Guards against a call to a dead endpoint that keeps its slot, and against
// calls to the old endpoint that occupy slots of the new one.
TEST_CASE_METHOD(agent_fixture,
                 "agent process / endpoint replaced during a task / new "
                 "endpoint's slots free") {
  Announce();
  SendStart(0);
  AwaitTasks(1);
  http_server second(
      loop_, [](const http_request&, const http_server::responder& respond) {
        respond({200, {}, "second"});
      });
  REQUIRE(second.Listen(kAnyPort));
  nlohmann::json body = Announcement();
  body["url"] = "http://" + second.Address().ToString();
  grants_.clear();
  REQUIRE(Call("PUT", "/v1/endpoint", body.dump()).status == 200);
  AwaitGrants(2);
  SendStart(1);
  CHECK(Await<answer_message>().body == "second");
  CHECK(agent_->Controller().Running() == 1);
  CHECK(agent_->Controller().Slots().Busy() == 0);
  clock_.Advance(std::chrono::seconds(62));
  RunUntil([this] { return agent_->Controller().Running() == 0; });
  tasks_[0]({200, {}, "late"});
  CHECK(agent_->Controller().Slots().Busy() == 0);
}

// Guards against a pause that does not reach the endpoint, and a slot that is
// freed although the task still runs.
TEST_CASE_METHOD(agent_fixture,
                 "agent process / long-running tasks and demand / paused and "
                 "resumed") {
  Announce();
  SendStart(0);
  SendStart(1);
  AwaitTasks(2);
  clock_.Advance(suspension_policy::kSuspendAfter);
  Announce();
  grants_.clear();
  link_->Send(EncodeEntryMessage(demand_message{1, false}));
  AwaitGrants(1);
  CHECK(calls_.back().substr(calls_.back().size() - 6) == "/pause");
  SendStart(2);
  AwaitTasks(3);
  tasks_[2]({200, {}, ""});
  RunUntil([this] {
    return calls_.back().substr(calls_.back().size() - 7) == "/resume";
  });
  CHECK(calls_.size() == 5);
}

// Guards against a shutdown that interrupts a running task.
TEST_CASE_METHOD(agent_fixture,
                 "agent process / drain with a running task / drained after "
                 "its end") {
  Announce();
  SendStart(0);
  AwaitTasks(1);
  bool drained = false;
  agent_->Drain([&] { drained = true; });
  clock_.Advance(std::chrono::seconds(2));
  received_.clear();
  CHECK(Await<announce_message>().leaving);
  CHECK_FALSE(drained);
  tasks_[0]({200, {}, "result"});
  CHECK(Await<answer_message>().body == "result");
  clock_.Advance(agent_controller::kFlushTime);
  RunUntil([&] { return drained; });
}

}  // namespace
}  // namespace almond
