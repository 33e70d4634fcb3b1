#ifndef ALMOND_ALMONDCTL_ALMONDCTL_FIXTURE_H_
#define ALMOND_ALMONDCTL_ALMONDCTL_FIXTURE_H_

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "libalmond/net/http_server.h"
#include "libalmond/operator_commands/almondctl.h"

namespace almond {

/// A server on loopback that sends prepared responses and records the requests.
/// The last response is repeated.
class fake_server {
 public:
  explicit fake_server(event_loop& loop)
      : server_(loop, [this](const http_request& request,
                             const http_server::responder& respond) {
          requests.push_back(request);
          respond(responses.empty() ? http_response{404, {}, "{}"}
                                    : responses.front());
          if (responses.size() > 1) responses.pop_front();
        }) {
    server_.Listen({"127.0.0.1", 0});
  }

  std::string Address() const { return server_.Address().ToString(); }
  std::string Url() const { return "http://" + Address(); }

  std::deque<http_response> responses;
  std::vector<http_request> requests;

 private:
  http_server server_;
};

/// Runs almondctl against fake servers and files in memory.
class almondctl_fixture {
 protected:
  static constexpr const char* kChangeId =
      "01900000-0000-7000-8000-000000000001";

  /// The body is shorter than its Content-Length, so the client never
  /// receives a complete answer.
  static http_response Lost() {
    return {200, {{"Content-Length", "100"}}, "{"};
  }
  static http_response Reply(int status, const std::string& body) {
    return {status, {}, body};
  }
  static http_response NotLeader(const std::string& leader) {
    return Reply(503, R"({"reason":"not-leader","leader":")" + leader + "\"}");
  }

  int Run(const std::vector<std::string>& arguments,
          const std::string& control_setting = "") {
    out_.str("");
    err_.str("");
    const operator_context context = {
        loop_,
        clock_,
        random_,
        out_,
        err_,
        [this](const std::string& name) { return Read(name); },
        control_setting,
        milliseconds(0)};
    return static_cast<int>(RunAlmondctl(arguments, context));
  }

  int Apply(const std::string& control) {
    return Run({"config", "apply", "--base", "base.yaml", "--expect-version",
                "3", "--change-id", kChangeId, "--control", control});
  }

  std::optional<std::string> Read(const std::string& name) const {
    const auto found = files_.find(name);
    if (found == files_.end()) return std::nullopt;
    return found->second;
  }

  /// @returns the URL of a closed port
  std::string ClosedUrl() { return fake_server(loop_).Url(); }

  event_loop loop_;
  manual_clock clock_;
  std::mt19937_64 random_{1};
  std::ostringstream out_;
  std::ostringstream err_;
  std::map<std::string, std::string> files_ = {
      {"base.yaml", "data_centres: [a, b]\nteams: {t: {}}\n"},
      {"a.yaml", "teams: {t: {weight: 2}}\n"},
      {"bad.yaml", "data_centres: [a]\nteams: {t: {weight: 0}}\nx: 1\n"},
      {"job.json", R"({"tasks":[{"body":"x"}]})"}};
};

}  // namespace almond

#endif  // ALMOND_ALMONDCTL_ALMONDCTL_FIXTURE_H_
