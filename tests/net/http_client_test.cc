#include "libalmond/net/http_client.h"

#include <catch2/catch.hpp>

#include "libalmond/net/http_server.h"
#include "libalmond/net/peer_listener.h"
#include "net/loop_iterations.h"

namespace almond {
namespace {

const socket_address kAnyPort{"127.0.0.1", 0};

/// Sends one request and returns its result.
class http_client_fixture {
 protected:
  http_call_result Call(const socket_address& address) {
    http_call_result end;
    int calls = 0;
    SendHttpRequest(loop_, address, {"POST", "/a", "b=c", {{"X", "y"}}, "body"},
                    milliseconds(20000), [&](const http_call_result& result) {
                      ++calls;
                      end = result;
                      loop_.Stop();
                    });
    CHECK(calls == 0);
    loop_.Run();
    CHECK(calls == 1);
    return end;
  }

  event_loop loop_;
  system_clock clock_;
};

// Guards against an unknown outcome if the server has received nothing.
TEST_CASE_METHOD(http_client_fixture, "http call / closed port / not sent") {
  socket_address closed;
  {
    peer_listener listener(loop_, clock_, [](const auto&) {});
    REQUIRE(listener.Listen(kAnyPort));
    closed = listener.Address();
  }
  CHECK(Call(closed).outcome == http_call_outcome::not_sent);
}

// Guards against the outcome "not sent" after the server has read the request,
// and against a resend.
TEST_CASE_METHOD(http_client_fixture,
                 "http call / server closes after reading / lost") {
  int connections = 0;
  std::shared_ptr<peer_link> open;
  // The request is not a valid frame, so the link closes after reading it.
  peer_listener listener(loop_, clock_, [&](std::shared_ptr<peer_link> link) {
    ++connections;
    open = std::move(link);
    open->Start({[](const frame&) {}, [](const std::string&) {}});
  });
  REQUIRE(listener.Listen(kAnyPort));
  CHECK(Call(listener.Address()).outcome == http_call_outcome::lost);
  CHECK(connections == 1);
}

// Guards against a request or response that is altered in transit.
TEST_CASE_METHOD(http_client_fixture,
                 "http call / answered / complete response") {
  http_request seen;
  http_server server(loop_, [&](const http_request& request,
                                const http_server::responder& respond) {
    seen = request;
    respond({503, {{"Almond-Outcome", "not-run"}}, std::string("a\0b", 3)});
  });
  REQUIRE(server.Listen(kAnyPort));
  const auto end = Call(server.Address());
  CHECK(end.outcome == http_call_outcome::answered);
  CHECK(end.response.status == 503);
  CHECK(end.response.body.size() == 3);
  CHECK(HeaderValue(end.response.headers, "almond-outcome") == "not-run");
  CHECK(seen.method == "POST");
  CHECK(seen.path == "/a");
  CHECK(seen.query == "b=c");
  CHECK(HeaderValue(seen.headers, "x") == "y");
  CHECK(seen.body == "body");
}

// Guards against a request, its connection and its callback that are never
// destroyed.
TEST_CASE_METHOD(http_client_fixture,
                 "http call / loop ends while it is in flight / destroyed "
                 "without a result") {
  auto captured = std::make_shared<int>();
  const std::weak_ptr<int> observed = captured;
  int calls = 0;
  std::shared_ptr<peer_link> open;
  peer_listener listener(loop_, clock_, [&](std::shared_ptr<peer_link> link) {
    open = std::move(link);
    loop_.Stop();
  });
  REQUIRE(listener.Listen(kAnyPort));
  {
    event_loop other;
    SendHttpRequest(other, listener.Address(), {"GET", "/", "", {}, ""},
                    milliseconds(20000),
                    [&calls, captured = std::move(captured)](
                        const http_call_result& /*result*/) { ++calls; });
    RunIterations(other, 2);
    loop_.Run();
  }
  CHECK(observed.expired());
  CHECK(calls == 0);
}

// Guards against a connection that is never closed.
TEST_CASE_METHOD(http_client_fixture,
                 "http call / loop ends before the result is delivered / "
                 "destroyed") {
  for (int iterations = 0; iterations < 10; ++iterations) {
    auto captured = std::make_shared<int>();
    const std::weak_ptr<int> observed = captured;
    {
      event_loop other;
      SendHttpRequest(
          other, {"127.0.0.1", 1}, {"GET", "/", "", {}, ""}, milliseconds(500),
          [captured = std::move(captured)](const http_call_result& /*result*/) {
          });
      RunIterations(other, iterations);
    }
    CHECK(observed.expired());
  }
}

}  // namespace
}  // namespace almond
