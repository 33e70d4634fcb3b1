#include <catch2/catch.hpp>

#include "almondctl/almondctl_fixture.h"
#include "libalmond/operator_commands/line_diff.h"

namespace almond {
namespace {

constexpr const char* kAccepted = R"({"version":4,"digest":"d4"})";

struct apply_row {
  std::string name;
  std::deque<http_response> first;   // of the first control process
  std::deque<http_response> second;  // of the second one
  int code;
  std::size_t first_calls;
  std::size_t second_calls;
  std::string message;
};

class apply_fixture : protected almondctl_fixture {
 protected:
  static std::vector<apply_row> Table() {
    const http_response accepted = Reply(200, kAccepted);
    const http_response unknown = Reply(504, R"({"reason":"outcome-unknown"})");
    return {
        {"accepted", {accepted}, {}, 0, 1, 0, "version 4\ndigest d4\n"},
        {"lost and resent", {Lost()}, {accepted}, 0, 1, 1, "version 4"},
        {"unknown and resent", {unknown}, {accepted}, 0, 1, 1, "version 4"},
        {"lost and resent in the next round",
         {Lost(), accepted},
         {NotLeader("")},
         0,
         2,
         1,
         "version 4"},
        {"election under way",
         {NotLeader("")},
         {NotLeader(""), accepted},
         0,
         2,
         2,
         "version 4"},
        {"no leader",
         {NotLeader("")},
         {NotLeader("")},
         3,
         10,
         10,
         "nothing was changed"},
        {"lost for good",
         {Lost()},
         {NotLeader("")},
         3,
         10,
         10,
         std::string("resend with --change-id ") +
             almondctl_fixture::kChangeId},
        {"versions conflict",
         {Reply(409,
                R"({"reason":"version-conflict","version":9,"digest":"d9"})")},
         {},
         1,
         1,
         0,
         "refused: version-conflict; the accepted version is 9 with digest d9"},
        {"change ids conflict",
         {Reply(409, R"({"reason":"change-id-conflict"})")},
         {},
         1,
         1,
         0,
         "the change id names another change"},
        {"invalid for the server",
         {Reply(422, R"({"reason":"invalid-configuration","errors":[
           {"file":"base","key":"teams","expected":"more"},7]})")},
         {},
         1,
         1,
         0,
         "base: teams: expected more"},
        {"answer of other types",
         {Reply(409, R"({"reason":5,"version":"x"})")},
         {},
         1,
         1,
         0,
         "refused: HTTP status 409"},
    };
  }
};

// Guards against a change that is applied twice after a lost answer, and
// against a conflict that is reported as success.
TEST_CASE_METHOD(
    apply_fixture,
    "config apply / answers of two control processes / determine the "
    "exit code") {
  for (const apply_row& row : Table()) {
    INFO(row.name);
    fake_server first(loop_);
    fake_server second(loop_);
    first.responses = row.first;
    second.responses = row.second;
    CHECK(Apply(first.Url() + "," + second.Url()) == row.code);
    CHECK(first.requests.size() == row.first_calls);
    CHECK(second.requests.size() == row.second_calls);
    CHECK((out_.str() + err_.str()).find(row.message) != std::string::npos);
    for (const fake_server* server : {&first, &second}) {
      for (const http_request& request : server->requests) {
        const auto body = nlohmann::json::parse(request.body);
        CHECK(body["change_id"] == kChangeId);
        CHECK(body["expect_version"] == 3);
      }
    }
  }
}

// Guards against a client that ignores the leader named by a follower.
TEST_CASE_METHOD(almondctl_fixture,
                 "config apply / follower names the leader / is called next") {
  fake_server follower(loop_);
  fake_server silent(loop_);
  fake_server leader(loop_);
  follower.responses = {NotLeader(leader.Address())};
  leader.responses = {Reply(200, kAccepted)};
  CHECK(Apply(ClosedUrl() + "," + follower.Url() + "," + silent.Url()) == 0);
  CHECK(leader.requests.size() == 1);
  CHECK(silent.requests.empty());
}

// Guards against a generated change id that is unknown after a lost answer.
TEST_CASE_METHOD(almondctl_fixture,
                 "config apply / no change id / prints the one it sends") {
  fake_server leader(loop_);
  leader.responses = {Lost(), Reply(200, kAccepted)};
  CHECK(Run({"config", "apply", "--base=base.yaml", "--overlay=a=a.yaml",
             "--expect-version=0"},
            leader.Url()) == 0);
  REQUIRE(leader.requests.size() == 2);
  CHECK(leader.requests[0].body == leader.requests[1].body);
  const auto body = nlohmann::json::parse(leader.requests[0].body);
  CHECK(body["base"] == files_["base.yaml"]);
  CHECK(body["overlays"]["a"] == files_["a.yaml"]);
  CHECK(err_.str() ==
        "change id " + body["change_id"].get<std::string>() + "\n");
}

// Guards against sending an invalid file, and against a wrong exit code if no
// server can be reached.
TEST_CASE_METHOD(almondctl_fixture,
                 "almondctl / closed port / exits 3 unless refused before") {
  CHECK(Apply(ClosedUrl()) == 3);
  CHECK(Run({"drain", "--agent", ClosedUrl()}) == 3);
  CHECK(Run({"config", "apply", "--base=bad.yaml", "--expect-version=0"},
            ClosedUrl()) == 1);
}

struct reply_row {
  std::vector<std::string> arguments;
  std::deque<http_response> responses;
  int code;
  std::string target;  // method, path and query of the last request
  std::string output;
};

class reply_fixture : protected almondctl_fixture {
 protected:
  // "URL" is replaced by the URL of the server.
  static std::vector<reply_row> Table() {
    const std::string in_force =
        R"({"version":4,"digest":"d4","confirmed":true})";
    const std::string status = R"({"newest":4,"leader":"c1","processes":[
      {"role":"entry","id":"e1","version":4},
      {"role":"entry","id":"e2","version":3,"data_centre":"a","age_ms":120,
       "http_address":"127.0.0.1:80"},
      {"role":"agent","id":"a1","version":4,"leaving":true}],"replicas":[
      {"id":"c1","role":"leader","term":2,"commit_index":7,"admitted":true},
      {"id":"c2","role":"follower","term":2,"commit_index":6},
      {"id":"c3","role":"follower","silent_ms":20,"admitted":true}]})";
    const std::vector<std::string> submit = {
        "submit", "--entry", "URL", "--service", "s", "--job", "job.json"};
    const std::string failed = R"({"state":"failed","reason":"task-failed"})";
    return {
        {{"config", "show", "--entry", "URL"},
         {Reply(200, in_force)},
         0,
         "GET /v1/config?",
         "version 4\ndigest d4\nconfirmed\n"},
        {{"config", "show", "--agent", "URL", "--json"},
         {Reply(200, in_force)},
         0,
         "GET /v1/config?",
         in_force + "\n"},
        {{"config", "show", "--control", "URL"},
         {Reply(200, R"({"version":4,"digest":"d4","base":"b\n",
           "overlays":{"a":"o\n"}})")},
         0,
         "GET /v1/config?",
         "version 4\ndigest d4\n--- base\nb\n--- overlay a\no\n"},
        {{"config", "show", "--entry", "URL"},
         {Reply(200, "<html>")},
         3,
         "GET /v1/config?",
         ""},
        {{"config", "history", "--control", "URL"},
         {Reply(200, R"({"changes":[{"version":1,"digest":"d1",
           "change_id":"c1","accepted_ms":1700000000000}]})")},
         0,
         "GET /v1/config/history?",
         " version  accepted (UTC)        change id                            "
         " "
         "digest\n       1  2023-11-14T22:13:20Z  c1                           "
         " "
         "        d1\n"},
        {{"config", "diff", "--from", "1", "--to", "2", "--control", "URL"},
         {Reply(200, R"({"base":"x\ny\n","overlays":{"a":"1\n"}})"),
          Reply(200, R"({"base":"x\nz\n","overlays":{}})")},
         0,
         "GET /v1/config?version=2",
         "--- base (version 1)\n+++ base (version 2)\n@@ -1,2 +1,2 @@\n x\n"
         "-y\n+z\n--- overlay a (version 1)\n+++ overlay a (version 2)\n"
         "@@ -1 +0,0 @@\n-1\n"},
        {{"config", "diff", "--from", "1", "--to", "9", "--control", "URL"},
         {Reply(404, R"({"reason":"unknown-version"})")},
         1,
         "GET /v1/config?version=1",
         ""},
        {{"status", "--control", "URL"},
         {Lost(), Reply(200, status)},
         0,
         "GET /v1/status?",
         "newest version 4, leader c1\n"
         "entry: 1 of 2 at the newest version, 0 leaving\n"
         "agent: 1 of 1 at the newest version, 1 leaving\n"
         "lags: entry  e2                       a                "
         "127.0.0.1:80           version 3, heard 120 ms ago\n"
         "replica c1: leader, term 2, commit index 7\n"
         "replica c2: follower, term 2, commit index 6, not admitted\n"
         "replica c3: follower, heard 20 ms ago\n"},
        {{"drain", "--agent", "URL"},
         {Reply(204, "")},
         0,
         "DELETE /v1/endpoint?",
         "the endpoint is leaving\n"},
        {submit,
         {Reply(200, R"({"state":"complete","results":[
           {"status":200,"body":"x"}]})")},
         0,
         "POST /v1/services/s/jobs?",
         "state complete\ntask 0: status 200: x\n"},
        {submit,
         {Reply(200, failed)},
         1,
         "POST /v1/services/s/jobs?",
         "state failed\nreason task-failed\n"},
        {submit,
         {{503, {{"Almond-Outcome", "not-run"}}, R"({"reason":"overloaded"})"}},
         1,
         "POST /v1/services/s/jobs?",
         ""},
        {submit,
         {{502, {{"Almond-Outcome", "unknown"}}, R"({"reason":"agent-lost"})"}},
         3,
         "POST /v1/services/s/jobs?",
         ""},
        {submit, {Lost()}, 3, "POST /v1/services/s/jobs?", ""},
    };
  }
};

// Guards against a failure or an unknown outcome that scripts take for a
// success.
TEST_CASE_METHOD(
    reply_fixture,
    "almondctl / answers of one process / determine text and exit code") {
  for (reply_row row : Table()) {
    fake_server server(loop_);
    server.responses = row.responses;
    for (std::string& argument : row.arguments) {
      if (argument == "URL") argument = server.Url();
    }
    INFO(row.target << " " << row.output);
    CHECK(Run(row.arguments) == row.code);
    CHECK(out_.str() == row.output);
    REQUIRE_FALSE(server.requests.empty());
    const http_request& last = server.requests.back();
    CHECK(last.method + " " + last.path + "?" + last.query == row.target);
  }
}

// Guards against a job that is sent without its name, rule or deadline, and
// against a client that resends a job on its own.
TEST_CASE_METHOD(almondctl_fixture,
                 "submit / all flags and a lost answer / sends them once") {
  fake_server entry(loop_);
  entry.responses = {Lost()};
  CHECK(Run({"submit", "--entry", entry.Url(), "--service", "s", "--kind",
             "bill", "--submission", kChangeId, "--timeout", "700", "--job",
             "job.json"}) == 3);
  REQUIRE(entry.requests.size() == 1);
  const http_request& request = entry.requests.front();
  CHECK(HeaderValue(request.headers, "Almond-Kind") == "bill");
  CHECK(HeaderValue(request.headers, "Almond-Submission") == kChangeId);
  CHECK(HeaderValue(request.headers, "Almond-Timeout-Ms") == "700");
  CHECK(request.body == files_["job.json"]);
}

// Guards against a failed job whose failed tasks are not shown.
TEST_CASE_METHOD(almondctl_fixture,
                 "submit / job failed / prints the reason and each task") {
  fake_server entry(loop_);
  entry.responses = {Reply(502, R"({"state":"failed","reason":"task-failed",
    "outcome":"ran","detail":"1 of 2","tasks":[
    {"index":1,"reason":"task-failed","outcome":"ran","detail":"status 500"},
    {"index":2,"reason":"cancelled","outcome":"not-run"}]})")};
  CHECK(Run({"submit", "--entry", entry.Url(), "--service", "s", "--job",
             "job.json"}) == 1);
  CHECK(err_.str() ==
        "refused: task-failed; outcome ran; 1 of 2\n"
        "task 1: task-failed; outcome ran; status 500\n"
        "task 2: cancelled; outcome not-run\n");
}

// Guards against a dead entry that hides the metrics of the others.
TEST_CASE_METHOD(almondctl_fixture,
                 "report / one of two entries is down / shows the other") {
  fake_server entry(loop_);
  entry.responses = {Reply(200, "almond_tasks_completed_total 40\n")};
  const std::string down = ClosedUrl();
  CHECK(Run({"report", "--interval=0", "--entry", down + "," + entry.Url()}) ==
        3);
  CHECK(err_.str() == down + " returned no metrics\n");
  CHECK(out_.str().find(" 40 ") != std::string::npos);
  CHECK(Run({"report", "--interval=1", "--json", "--entry", entry.Url()}) == 0);
  CHECK(entry.requests.size() == 3);
  const auto report = nlohmann::json::parse(out_.str());
  CHECK(report[entry.Url()]["almond_tasks_completed_total"] == 40);
}

// Guards against hunks with wrong line numbers.
TEST_CASE("line diff / changes far apart / are separate hunks") {
  std::string before;
  for (int i = 1; i <= 20; ++i) before += std::to_string(i) + "\n";
  std::string after = before;
  after.replace(after.find("2\n"), 2, "two\n");
  after += "21\n";
  CHECK(UnifiedDiff(before, after, "a", "b") ==
        "--- a\n+++ b\n@@ -1,5 +1,5 @@\n 1\n-2\n+two\n 3\n 4\n 5\n"
        "@@ -18,3 +18,4 @@\n 18\n 19\n 20\n+21\n");
  CHECK(UnifiedDiff(before, before, "a", "b").empty());
}

TEST_CASE_METHOD(almondctl_fixture,
                 "evacuate / order, withdrawal and lost answer / sent to the "
                 "control processes and resent") {
  fake_server control(loop_);
  control.responses = {Lost(), Reply(200, R"({"revision":3})")};
  CHECK(Run({"evacuate", "--data-centre", "north"}, control.Url()) == 0);
  CHECK(out_.str() == "north is evacuated, revision 3\n");
  REQUIRE(control.requests.size() == 2);
  CHECK(control.requests[1].method == "PUT");
  CHECK(control.requests[1].path == "/v1/evacuations/north");
  CHECK(Run({"evacuate", "--withdraw", "--data-centre", "north"},
            control.Url()) == 0);
  CHECK(out_.str() == "north is taken back, revision 3\n");
  CHECK(control.requests.back().method == "DELETE");
  control.responses = {Reply(404, R"({"reason":"unknown-data-centre"})")};
  CHECK(Run({"evacuate", "--data-centre=nowhere"}, control.Url()) == 1);
  CHECK(err_.str() == "refused: unknown-data-centre\n");
  CHECK(Run({"evacuate", "--data-centre=a/b"}, control.Url()) == 2);
}

}  // namespace
}  // namespace almond
