#include <catch2/catch.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "libalmond/net/http_client.h"
#include "platform_programs/piped_program.h"

namespace almond {
namespace {

constexpr milliseconds kAnswerLimit{5000};
/// Requests that each make a program log a line; together more than a pipe and
/// the buffer of a process hold.
constexpr int kLoggedRequests = 2500;

/// One program with the platform's interfaces, whose log nobody reads.
class unread_log_fixture {
 protected:
  unread_log_fixture() : first_port_(ChooseAdjacentPorts(ip_, 8)) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "log.XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
  }
  ~unread_log_fixture() {
    program_.reset();
    std::filesystem::remove_all(folder_);
  }

  void Start(const std::string& name, std::vector<std::string> flags) {
    const std::string http = Address(0).ToString();
    for (const std::string& flag :
         {std::string("--platform"), std::string("--id=machine"),
          std::string("--data_centre=zone"), "--ip=" + ip_, "--seeds=" + http,
          "--port_range=" + std::to_string(first_port_ + 2) + "," +
              std::to_string(first_port_ + 7),
          "--listen_http=" + http}) {
      flags.push_back(flag);
    }
    program_ = std::make_unique<piped_program>(name, flags);
    REQUIRE(Await([&] { return Call({"GET", "/", "", {}, ""}) != 0; }));
  }
  void StartControl() {
    Start("almond-controld",
          {"--data_dir=" + folder_, "--bootstrap", "--tolerated_losses=0"});
    REQUIRE(Await([&] { return Put(1) == 200; }));
  }
  void StartEntry() {
    Start("almond-entryd", {"--listen_ready=" + Address(1).ToString()});
  }
  void StartAgent() { Start("almond-agentd", {"--service=s"}); }

  socket_address Address(int offset) const {
    return {ip_, static_cast<std::uint16_t>(first_port_ + offset)};
  }
  bool Await(const std::function<bool()>& condition) {
    const steady_time deadline = clock_.SteadyNow() + kAnswerLimit;
    while (!condition()) {
      if (clock_.SteadyNow() >= deadline) return false;
      loop_.Post(milliseconds(20), [this] { loop_.Stop(); });
      loop_.Run();
    }
    return true;
  }
  /// @returns the status, or 0 without an answer
  int Call(const http_request& request) {
    std::optional<http_call_result> end;
    SendHttpRequest(loop_, Address(0), request, kAnswerLimit,
                    [&](const http_call_result& result) {
                      end = result;
                      loop_.Stop();
                    });
    while (!end) loop_.Run();
    return end->outcome == http_call_outcome::answered ? end->response.status
                                                       : 0;
  }
  int Put(int version) {
    const nlohmann::json config = {{"version", version},
                                   {"services", {{{"name", "s"}}}},
                                   {"routes", nlohmann::json::array()}};
    return Call({"PUT", "/almondproxy/config", "", {}, config.dump()});
  }
  /// Sends requests until more has been logged than the pipe and the buffer of
  /// the process hold, or one is not answered.
  /// @returns true if all were answered
  bool LogMuch(const http_request& request) {
    for (int i = 0; i < kLoggedRequests; ++i) {
      if (Call(request) == 0) return false;
    }
    return true;
  }
  /// Reads the log until a line says how many were dropped.
  /// @returns that line
  std::string AwaitNotice() {
    std::string notice;
    Await([&] {
      log_ += program_->ReadAvailable();
      const std::size_t at = log_.find("log lines were dropped");
      if (at == std::string::npos) return false;
      const std::size_t begin = log_.rfind('\n', at) + 1;
      notice = log_.substr(begin, log_.find('\n', at) - begin);
      return true;
    });
    return notice;
  }
  /// @returns the number of lines of the log that are not JSON objects
  std::size_t TornLines() const {
    std::size_t torn = 0;
    std::istringstream in(log_.substr(0, log_.rfind('\n') + 1));
    for (std::string line; std::getline(in, line);) {
      torn += nlohmann::json::parse(line, nullptr, false).is_object() ? 0 : 1;
    }
    return torn;
  }

  event_loop loop_;
  system_clock clock_;
  const std::string ip_ = ChooseLoopbackNet() + "1";
  const std::uint16_t first_port_;
  std::string folder_;
  std::unique_ptr<piped_program> program_;
  std::string log_;
  const http_request unknown_path_{"POST", "/no/such/path", "", {}, "{}"};
};

// Guards against a control process that waits in a write to its log while
// nobody reads it, and serves nothing meanwhile.
TEST_CASE_METHOD(unread_log_fixture,
                 "control program / log not read / changes are acknowledged") {
  StartControl();
  CHECK(LogMuch(unknown_path_));
  CHECK(Put(2) == 200);
}

// Guards against the same in the other programs.
TEST_CASE_METHOD(unread_log_fixture,
                 "entry program / log not read / requests are answered") {
  StartEntry();
  CHECK(LogMuch(unknown_path_));
}

TEST_CASE_METHOD(unread_log_fixture,
                 "agent program / log not read / requests are answered") {
  StartAgent();
  CHECK(LogMuch({"POST", "/almondproxy/heartbeat", "", {}, "no JSON"}));
}

// Guards against lines that are torn or missing unnoticed once the reader of
// the log is back.
TEST_CASE_METHOD(unread_log_fixture,
                 "control program / log read again / lines are whole and the "
                 "dropped ones are counted") {
  StartControl();
  REQUIRE(LogMuch(unknown_path_));
  const std::string notice = AwaitNotice();
  CHECK(nlohmann::json::parse(notice, nullptr, false).is_object());
  CHECK(TornLines() == 0);
}

// Guards against a process that ends because nobody can read its log any more.
TEST_CASE_METHOD(unread_log_fixture,
                 "control program / reader of the log gone / changes are "
                 "acknowledged") {
  StartControl();
  program_->CloseReader();
  CHECK(LogMuch(unknown_path_));
  CHECK(Put(2) == 200);
}

// Guards against a flag of the pipe that changes how other processes write.
TEST_CASE_METHOD(unread_log_fixture,
                 "entry program / log shared with another process / the other "
                 "still blocks") {
  StartEntry();
  CHECK(program_->SharedEndBlocks());
}

}  // namespace
}  // namespace almond
