#include "libalmond/processes/entry_process.h"

#include <catch2/catch.hpp>

#include "libalmond/processes/agent_process.h"

namespace almond {
namespace {

const socket_address kAnyPort{"127.0.0.1", 0};

/// One entry with one agent and an endpoint that holds its responses until the
/// test sends them.
class entry_process_fixture {
 protected:
  entry_process_fixture()
      : entry_(loop_, clock_,
               {entry_id("e1"), data_centre_id("dc1"), kAnyPort, kAnyPort,
                milliseconds(100), milliseconds(5000)}),
        endpoint_(loop_, [this](const http_request&,
                                const http_server::responder& respond) {
          held_responses_.push_back(respond);
          if (on_task_) on_task_();
        }) {
    data_centre_config config;
    config.services[service_id("s")].team = team_id("t");
    config.teams[team_id("t")];
    entry_.SetConfig(config);
    REQUIRE(entry_.Start());
    REQUIRE(endpoint_.Listen(kAnyPort));
    agent_ =
        std::make_unique<agent_process>(loop_, clock_,
                                        agent_settings{agent_id("a1"),
                                                       data_centre_id("dc1"),
                                                       kAnyPort,
                                                       {entry_.PeerAddress()}});
    REQUIRE(agent_->Start());
    const std::string body = R"({"service":"s","slots":2,"url":"http://)" +
                             endpoint_.Address().ToString() + "\"}";
    Call(agent_->HttpAddress(), {"PUT", "/v1/endpoint", "", {}, body});
    const auto poll = loop_.Every(milliseconds(5), [this] {
      if (entry_.AgentCount(service_id("s")) == 1) loop_.Stop();
    });
    loop_.Run();
  }

  http_call_result Call(const socket_address& address,
                        const http_request& request) {
    http_call_result end;
    SendHttpRequest(loop_, address, request, milliseconds(20000),
                    [&](const http_call_result& result) {
                      end = result;
                      loop_.Stop();
                    });
    loop_.Run();
    return end;
  }
  http_call_result Get(const std::string& path) {
    return Call(entry_.HttpAddress(), {"GET", path, "", {}, ""});
  }

  event_loop loop_;
  system_clock clock_;
  entry_process entry_;
  http_server endpoint_;
  std::unique_ptr<agent_process> agent_;
  std::vector<http_server::responder> held_responses_;
  std::function<void()> on_task_;
};

// Guards against a shutdown that interrupts requests, or that the load balancer
// cannot detect.
TEST_CASE_METHOD(entry_process_fixture,
                 "draining / request in progress / health fails, request "
                 "completes") {
  CHECK(Get("/healthz").response.status == 200);
  http_call_result answer;
  std::optional<std::size_t> abandoned;
  on_task_ = [this] { loop_.Stop(); };
  SendHttpRequest(loop_, entry_.HttpAddress(),
                  {"POST", "/v1/services/s/requests", "", {}, "x"},
                  milliseconds(20000),
                  [&](const http_call_result& result) { answer = result; });
  loop_.Run();
  entry_.Drain([&](std::size_t requests) {
    abandoned = requests;
    loop_.Stop();
  });
  CHECK(Get("/healthz").response.status == 503);
  CHECK_FALSE(abandoned);
  loop_.Post(milliseconds(300), [this] { loop_.Stop(); });
  loop_.Run();
  CHECK(Get("/healthz").outcome == http_call_outcome::not_sent);
  REQUIRE(held_responses_.size() == 1);
  held_responses_[0]({200, {}, "result"});
  loop_.Run();
  CHECK(answer.response.body == "result");
  CHECK(abandoned == 0);
}

// Guards against missing metrics and HTTP paths that operators rely on.
TEST_CASE_METHOD(entry_process_fixture,
                 "entry / operators' interface / present from the start") {
  const std::string text = Get("/metrics").response.body;
  for (const char* name :
       {"almond_tasks_completed_total", "almond_tasks_failed_total",
        "almond_dispatch_messages_total{type=\"start\"}",
        "almond_wasted_messages_total{type=\"query\"}", "almond_queued_tasks",
        "almond_running_tasks", "almond_response_ratio", "almond_wait_seconds",
        "almond_short_wait_seconds", "almond_run_seconds",
        "almond_ejections_total",
        "almond_refusals_total{reason=\"overloaded\"}"}) {
    INFO(name);
    CHECK(text.find(name) != std::string::npos);
  }
  CHECK(Get("/v1/config").response.status == 404);
  entry_hooks hooks;
  hooks.config_report = [] { return http_response{200, {}, "{}"}; };
  entry_.SetHooks(hooks);
  CHECK(Get("/v1/config").response.status == 200);
  CHECK(Get("/v1/jobs/01890a5d-ac96-774b-bcce-b302099a8057").response.status ==
        404);
}

// Guards against a named submission that runs without the ledger, and against
// "not-run" for an id that cannot be looked up.
TEST_CASE_METHOD(entry_process_fixture,
                 "named submission / no ledger / refused as unknown") {
  const auto end =
      Call(entry_.HttpAddress(),
           {"POST",
            "/v1/services/s/requests",
            "",
            {{"Almond-Submission", "01890a5d-ac96-774b-bcce-b302099a8057"}},
            "x"});
  CHECK(end.response.status == 503);
  CHECK(HeaderValue(end.response.headers, "Almond-Outcome") == "unknown");
  CHECK(held_responses_.empty());
}

/// Age at which the absence of an id from the ledger does not prove that its
/// submission has not run.
constexpr milliseconds kExpiredAge = std::chrono::minutes(10);

struct lookup_case {
  const char* name;
  const char* service;
  bool answered;
  bool on_record;
  milliseconds age;
  const char* reason;
  const char* outcome;
};

// Guards against "not-run" for a submission that has run: a refusal of one
// request does not cover earlier requests with the same id.
TEST_CASE_METHOD(entry_process_fixture,
                 "named submission / refused by a filter / ledger decides") {
  const auto row =
      GENERATE(lookup_case{"absent", "idle", true, false, milliseconds(0),
                           "no-endpoint", "not-run"},
               lookup_case{"absent but old", "idle", true, false, kExpiredAge,
                           "no-endpoint", "unknown"},
               lookup_case{"known", "idle", true, true, milliseconds(0),
                           "owner-lost", "unknown"},
               lookup_case{"ledger silent", "idle", false, false,
                           milliseconds(0), "no-endpoint", "unknown"},
               lookup_case{"other settings now", "gone", true, true,
                           milliseconds(0), "unknown-service", "unknown"},
               lookup_case{"never known", "gone", true, false, milliseconds(0),
                           "unknown-service", "not-run"});
  INFO(row.name);
  data_centre_config config;
  config.services[service_id("idle")].team = team_id("t");
  config.teams[team_id("t")];
  entry_.SetConfig(config);
  entry_hooks hooks;
  hooks.ledger.read = [&](const uuid& id,
                          const ledger_hooks::read_reply& reply) {
    if (!row.answered) {
      reply(std::nullopt);
      return;
    }
    ledger_read_reply_message message;
    if (row.on_record) {
      ledger_record record;
      record.submission = id;
      record.state = ledger_state::failed;
      record.failure = {refusal_reason::owner_lost, run_outcome::unknown, ""};
      message.record = record;
    }
    reply(message);
  };
  entry_.SetHooks(hooks);
  std::mt19937_64 random(1);
  const uuid id = uuid::MakeV7(clock_.WallNow() - row.age, random);
  const auto end =
      Call(entry_.HttpAddress(),
           {"POST",
            std::string("/v1/services/") + row.service + "/requests",
            "",
            {{"Almond-Submission", id.ToString()}},
            "x"});
  CHECK(HeaderValue(end.response.headers, "Almond-Outcome") == row.outcome);
  CHECK(end.response.body.find(row.reason) != std::string::npos);
}

// Guards against a cancellation that reports success for a submission of
// another entry, and one that hides the result of an ended submission.
TEST_CASE_METHOD(entry_process_fixture,
                 "DELETE / submission of another entry / ledger state") {
  const auto state = GENERATE(ledger_state::running, ledger_state::failed);
  entry_hooks hooks;
  hooks.ledger.read = [&](const uuid& id,
                          const ledger_hooks::read_reply& reply) {
    ledger_record record;
    record.submission = id;
    record.state = state;
    record.failure = {refusal_reason::owner_lost, run_outcome::unknown, ""};
    reply(ledger_read_reply_message{record});
  };
  entry_.SetHooks(hooks);
  const auto end = Call(
      entry_.HttpAddress(),
      {"DELETE", "/v1/jobs/01890a5d-ac96-774b-bcce-b302099a8057", "", {}, ""});
  const bool running = state == ledger_state::running;
  CHECK(end.response.status == (running ? 409 : 502));
  CHECK(HeaderValue(end.response.headers, "Almond-Outcome") == "unknown");
  const char* reason = running ? "runs-elsewhere" : "owner-lost";
  CHECK(end.response.body.find(reason) != std::string::npos);
}

// Guards against a cancellation of a running task that is not reported as in
// progress.
TEST_CASE_METHOD(entry_process_fixture,
                 "DELETE / submission that runs here / cancelling") {
  entry_hooks hooks;
  hooks.ledger.claim = [&](const ledger_claim_message& claim,
                           const ledger_hooks::claim_reply& reply) {
    ledger_claim_reply_message accepted;
    accepted.outcome = claim_outcome::accepted;
    accepted.record.submission = claim.submission;
    accepted.record.epoch = owner_epoch(1);
    reply(accepted);
  };
  entry_.SetHooks(hooks);
  http_call_result submitted;
  std::mt19937_64 random(1);
  const std::string id = uuid::MakeV7(clock_.WallNow(), random).ToString();
  on_task_ = [this] { loop_.Stop(); };
  SendHttpRequest(
      loop_, entry_.HttpAddress(),
      {"POST", "/v1/services/s/requests", "", {{"Almond-Submission", id}}, "x"},
      milliseconds(20000), [&](const http_call_result& result) {
        submitted = result;
        loop_.Stop();
      });
  loop_.Run();
  const auto end =
      Call(entry_.HttpAddress(), {"DELETE", "/v1/jobs/" + id, "", {}, ""});
  CHECK(end.response.status == 202);
  CHECK(end.response.body == R"({"state":"cancelling"})");
  REQUIRE(held_responses_.size() == 1);
  held_responses_[0]({200, {}, "result"});
  loop_.Run();
  CHECK(submitted.outcome == http_call_outcome::answered);
}

// Guards against "not-run" for a resubmission whose earlier request, at another
// entry, has run.
TEST_CASE_METHOD(entry_process_fixture,
                 "refusal without the ledger / named submission / unknown") {
  const std::string id = "01890a5d-ac96-774b-bcce-b302099a8057";
  const auto outcome = [&](const http_headers& headers) {
    const auto end =
        Call(entry_.HttpAddress(),
             {"POST", "/v1/services/s/requests", "", headers, "x"});
    CHECK(end.response.status == 503);
    return HeaderValue(end.response.headers, "Almond-Outcome");
  };
  Call(agent_->HttpAddress(), {"DELETE", "/v1/endpoint", "", {}, ""});
  auto poll = loop_.Every(milliseconds(5), [this] {
    if (entry_.AgentCount(service_id("s")) == 0) loop_.Stop();
  });
  loop_.Run();
  // The poll would otherwise stop the loop while the calls below wait.
  poll.Reset();
  CHECK(outcome({}) == "not-run");
  CHECK(outcome({{"Almond-Submission", id}}) == "unknown");
  CHECK(held_responses_.empty());
}

}  // namespace
}  // namespace almond
