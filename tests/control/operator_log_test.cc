#include "libalmond/processes/operator_log.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

class operator_log_fixture {
 protected:
  http_response Answer(const std::string& method) {
    http_response sent;
    const auto respond =
        LogAnswer(clock_, {method, "/config", "", {}, ""},
                  [&sent](const http_response& response) { sent = response; });
    respond({307, {{"Location", "there"}}, "body"});
    return sent;
  }

  manual_clock clock_;
};

// Guards against operators whose answers are lost or altered by the log.
TEST_CASE_METHOD(operator_log_fixture,
                 "operator log / read or change / answer passed on unchanged") {
  const http_response sent = Answer(GENERATE("GET", "PUT", "POST"));
  CHECK(sent.status == 307);
  CHECK(HeaderValue(sent.headers, "Location") == "there");
  CHECK(sent.body == "body");
}

// Guards against requests whose path forges log lines or fills the log.
TEST_CASE_METHOD(operator_log_fixture,
                 "operator log / path with quotes and line breaks / replaced") {
  CHECK(LoggablePath("/almondproxy/config") == "/almondproxy/config");
  CHECK(LoggablePath("/a\",\"event\":\"x\n") == "/a???event???x?");
  CHECK(LoggablePath(std::string(5000, 'a')).size() == 64);
}

}  // namespace
}  // namespace almond
