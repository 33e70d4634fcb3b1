#include "libalmond/net/http_server.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "net/raw_connection.h"

namespace almond {
namespace {

const socket_address kAnyPort{"127.0.0.1", 0};

/// A server that answers with the method and the path, or holds the request.
class http_server_fixture {
 protected:
  http_server_fixture()
      : server_(std::make_unique<http_server>(
            loop_,
            [this](const http_request& request,
                   const http_server::responder& respond) {
              ++handled_;
              if (hold_) {
                held_.push_back(respond);
                loop_.Stop();
                return;
              }
              respond({404, {}, request.method + " " + request.path});
            },
            std::chrono::seconds(1))) {
    REQUIRE(server_->Listen(kAnyPort));
  }
  std::string Exchange(const std::string& bytes) {
    raw_connection client(loop_, server_->Address());
    REQUIRE(client.Write(bytes));
    return client.ReadToEnd();
  }

  event_loop loop_;
  int handled_ = 0;
  bool hold_ = false;
  std::vector<http_server::responder> held_;
  std::unique_ptr<http_server> server_;
};

struct wire_case {
  const char* name;
  std::string bytes;
  const char* status;
  /// Text that the response must contain; empty if the handler must not be
  /// called.
  std::string body;
};

// Guards against a crash, a hang or a success for unusual or malformed
// requests.
TEST_CASE_METHOD(http_server_fixture,
                 "http request / unusual or malformed / 4xx or 5xx") {
  const std::string end = " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n";
  const auto row = GENERATE_COPY(
      wire_case{"HEAD", "HEAD /x" + end + "\r\n", "404", "\r\n\r\n"},
      wire_case{"PATCH", "PATCH /x" + end + "\r\n", "404", "PATCH /x"},
      wire_case{"OPTIONS", "OPTIONS /x" + end + "\r\n", "404", "OPTIONS /x"},
      wire_case{"unknown method", "BREW /x" + end + "\r\n", "", ""},
      wire_case{"absolute URI", "GET http://h/x" + end + "\r\n", "404",
                "GET /x"},
      wire_case{"percent", "GET /a%2fb%20" + end + "\r\n", "404", "GET /a/b "},
      wire_case{"zero byte", "GET /a%00b" + end + "\r\n", "404",
                std::string("GET /a\0b", 8)},
      wire_case{"long path", "GET /" + std::string(8000, 'a') + end + "\r\n",
                "404", std::string(8000, 'a')},
      wire_case{"headers above the limit",
                "GET /" + std::string(40000, 'a') + end + "\r\n", "", ""},
      wire_case{"body above the limit",
                "POST /x" + end + "Content-Length: 99999999999\r\n\r\n", "413",
                ""},
      wire_case{"negative length",
                "POST /x" + end + "Content-Length: -1\r\n\r\n", "", ""},
      wire_case{"100-continue",
                "POST /x" + end +
                    "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nb",
                "404", "POST /x"},
      wire_case{"no HTTP", "hello\r\n\r\n", "", ""},
      wire_case{"slow headers", "GET /x HTTP/1.1\r\nHost:", "", ""});
  INFO(row.name);
  const std::string answer = Exchange(row.bytes);
  INFO(answer.substr(0, 200));
  CHECK(handled_ == (row.body.empty() ? 0 : 1));
  CHECK(answer.find(row.body) != std::string::npos);
  if (*row.status != '\0') CHECK(answer.substr(9, 3) == row.status);
  CHECK(answer.find(" 200 ") == std::string::npos);
  CHECK(server_->Pending() == 0);
}

// Guards against a client that waits forever for 100 Continue. The server sends
// no 100 Continue if the body has already arrived, as in the table above.
TEST_CASE_METHOD(http_server_fixture,
                 "http request / body after 100 Continue / handled") {
  raw_connection client(loop_, server_->Address());
  REQUIRE(
      client.Write("POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                   "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n"));
  auto poll = loop_.Every(milliseconds(1), [&] {
    client.Read();
    if (!client.Received().empty() || client.Closed()) loop_.Stop();
  });
  loop_.Run();
  // Otherwise the poll timer would stop the loop before the answer has arrived.
  poll.Reset();
  CHECK(client.Received().substr(9, 3) == "100");
  CHECK(handled_ == 0);
  REQUIRE(client.Write("b"));
  CHECK(client.ReadToEnd().find(" 404 ") != std::string::npos);
  CHECK(handled_ == 1);
}

// Guards against a crash or leak if a client disconnects before the response.
TEST_CASE_METHOD(http_server_fixture,
                 "http response / client disconnected / dropped") {
  hold_ = true;
  auto client = std::make_unique<raw_connection>(loop_, server_->Address());
  REQUIRE(
      client->Write("POST /x HTTP/1.1\r\nHost: a\r\n"
                    "Content-Length: 1\r\n\r\nb"));
  loop_.Run();
  REQUIRE(held_.size() == 1);
  client.reset();
  const bool close_detected = GENERATE(true, false);
  if (close_detected) {
    loop_.Post(milliseconds(20), [this] { loop_.Stop(); });
    loop_.Run();
  }
  held_[0]({200, {}, std::string(1U << 20U, 'x')});
  CHECK(server_->Pending() == 0);
  hold_ = false;
  CHECK(
      Exchange("GET /y HTTP/1.1\r\nConnection: close\r\n\r\n").find("GET /y") !=
      std::string::npos);
}

// Guards against a response on a connection that was freed with the server.
TEST_CASE_METHOD(http_server_fixture,
                 "http response / server destroyed / ignored") {
  hold_ = true;
  raw_connection client(loop_, server_->Address());
  REQUIRE(client.Write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n"));
  loop_.Run();
  REQUIRE(held_.size() == 1);
  server_.reset();
  held_[0]({200, {}, "late"});
  client.ReadToEnd();
  CHECK(client.Closed());
}

// Guards against work that continues for disconnected clients.
TEST_CASE_METHOD(
    http_server_fixture,
    "http server / client disconnects before the response / hook called") {
  std::vector<std::uint64_t> disconnected;
  server_->SetDisconnectHook([&](std::uint64_t number) {
    disconnected.push_back(number);
    loop_.Stop();
  });
  hold_ = true;
  raw_connection client(loop_, server_->Address());
  REQUIRE(client.Write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n"));
  loop_.Run();
  REQUIRE(held_.size() == 1);
  CHECK(disconnected.empty());
  client.Close();
  loop_.Run();
  CHECK(disconnected == std::vector<std::uint64_t>{1});
  held_[0]({200, {}, ""});
  CHECK(server_->Pending() == 0);
}

// Guards against work for a client that gave up while its request waited in the
// socket, and has sent it to another server since.
TEST_CASE_METHOD(
    http_server_fixture,
    "http server / client gone before its request is read / not handled") {
  server_->SetDisconnectHook([](std::uint64_t) {});
  raw_connection gone(loop_, server_->Address());
  REQUIRE(gone.Write("GET /gone HTTP/1.1\r\nHost: a\r\n\r\n"));
  gone.Close();
  raw_connection waiting(loop_, server_->Address());
  REQUIRE(waiting.Write(
      "GET /waiting HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
  CHECK(waiting.ReadToEnd().find("GET /waiting") != std::string::npos);
  CHECK(handled_ == 1);
  CHECK(server_->Pending() == 0);
}

/// A server with low limits that answers with the size of the body, or holds
/// the request.
class limited_server_fixture {
 protected:
  static input_limits Limits() {
    input_limits limits;
    limits.max_body_bytes = std::size_t{1} << 20U;
    limits.max_held_bytes = std::size_t{7} << 19U;
    limits.max_connections = 4;
    limits.receive_timeout = milliseconds(1000);
    return limits;
  }
  limited_server_fixture() {
    REQUIRE(server_.Listen(kAnyPort));
    server_.SetOverloadHook([](const http_request& /*request*/) {
      return http_response{503, {}, "refused"};
    });
  }
  static std::string Post(std::size_t announced, const std::string& body) {
    return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(announced) + "\r\n\r\n" + body;
  }
  std::unique_ptr<raw_connection> Client(const std::string& bytes) {
    auto client = std::make_unique<raw_connection>(loop_, server_.Address());
    std::size_t sent = 0;
    const auto write = loop_.Every(milliseconds(1), [&] {
      sent += client->WriteSome(bytes.substr(sent));
      if (sent == bytes.size()) loop_.Stop();
    });
    loop_.Run();
    return client;
  }
  bool Await(const std::function<bool()>& condition) {
    int ticks = 0;
    const auto poll = loop_.Every(milliseconds(1), [&] {
      if (condition() || ++ticks == 5000) loop_.Stop();
    });
    loop_.Run();
    return condition();
  }
  static bool HasAnswer(raw_connection& client, const std::string& text) {
    client.Read();
    return client.Received().find(text) != std::string::npos;
  }
  std::size_t Refusals(input_refusal reason) const {
    return static_cast<std::size_t>(
        std::count(refusals_.begin(), refusals_.end(), reason));
  }

  event_loop loop_;
  manual_clock clock_;
  std::vector<input_refusal> refusals_;
  bool hold_ = false;
  std::vector<http_server::responder> held_;
  std::shared_ptr<connection_budget> budget_ =
      std::make_shared<connection_budget>(
          clock_, Limits(),
          [this](input_refusal reason) { refusals_.push_back(reason); });
  http_server server_{loop_,
                      [this](const http_request& request,
                             const http_server::responder& respond) {
                        if (hold_) {
                          held_.push_back(respond);
                          return;
                        }
                        respond({200, {}, std::to_string(request.body.size())});
                      },
                      budget_};
};

// Guards against a body that is not read to its end, since the bound on the
// input ends the reading before.
TEST_CASE_METHOD(limited_server_fixture,
                 "http request / largest body / handled whole") {
  constexpr std::size_t kBytes = std::size_t{1} << 20U;
  const auto client = Client(Post(kBytes, std::string(kBytes, 'x')));
  CHECK(Await([&] { return HasAnswer(*client, std::to_string(kBytes)); }));
  CHECK(refusals_.empty());
}

// Guards against requests that were sent ahead and are lost or reordered by the
// bound on the input.
TEST_CASE_METHOD(limited_server_fixture,
                 "http requests / sent ahead / all answered in order") {
  std::string bytes;
  for (const std::size_t size : {1U, 100'000U, 7U, 300'000U, 2U}) {
    bytes += Post(size, std::string(size, 'x'));
  }
  const auto client = Client(bytes + Post(33, std::string(33, 'x')));
  REQUIRE(Await([&] { return HasAnswer(*client, "\r\n\r\n33"); }));
  std::size_t at = 0;
  for (const char* size : {"1", "100000", "7", "300000", "2", "33"}) {
    at = client->Received().find(std::string("\r\n\r\n") + size, at);
    REQUIRE(at != std::string::npos);
    ++at;
  }
}

TEST_CASE_METHOD(limited_server_fixture,
                 "http request / body announced above the limit / 413, closed, "
                 "counted") {
  const auto client = Client(Post(2U << 20U, "x"));
  CHECK(client->ReadToEnd().substr(9, 3) == "413");
  CHECK(Refusals(input_refusal::unfinished) == 1);
}

// Guards against unfinished bodies that together exceed the memory.
TEST_CASE_METHOD(limited_server_fixture,
                 "http requests / unfinished bodies / the largest is closed") {
  constexpr std::size_t kAnnounced = std::size_t{1} << 20U;
  std::vector<std::unique_ptr<raw_connection>> clients;
  for (const std::size_t sent : {1000U, 1040U, 1010U, 1020U}) {
    clients.push_back(Client(Post(kAnnounced, std::string(sent * 1000, 'x'))));
  }
  CHECK(Await([&] { return Refusals(input_refusal::memory) > 0; }));
  CHECK(Await([&] {
    clients[1]->Read();
    return clients[1]->Closed();
  }));
  CHECK(Refusals(input_refusal::memory) == 1);
}

// Guards against a refusal of a request that was handled, and against the
// handling of a request for which there is no memory.
TEST_CASE_METHOD(limited_server_fixture,
                 "http requests / requests in progress hold too much / 503 "
                 "before the handler, answered afterwards") {
  constexpr std::size_t kBytes = std::size_t{1} << 20U;
  hold_ = true;
  const auto first = Client(Post(kBytes, std::string(kBytes, 'x')));
  REQUIRE(Await([&] { return held_.size() == 1; }));
  const auto second = Client(Post(kBytes, std::string(kBytes, 'x')));
  CHECK(Await([&] { return HasAnswer(*second, "refused"); }));
  CHECK(held_.size() == 1);
  CHECK(second->Received().find("Connection: close") != std::string::npos);
  CHECK(Refusals(input_refusal::overloaded) == 1);
  held_[0]({200, {}, "done"});
  CHECK(Await([&] { return HasAnswer(*first, "done"); }));
  hold_ = false;
  const auto third = Client(Post(1, "x"));
  CHECK(Await([&] { return HasAnswer(*third, "\r\n\r\n1"); }));
}

TEST_CASE_METHOD(limited_server_fixture,
                 "http server / clients that send nothing / a new caller is "
                 "answered") {
  constexpr std::size_t kSilentClients = 12;
  std::vector<std::unique_ptr<raw_connection>> silent(kSilentClients);
  for (auto& client : silent) client = Client("");
  const auto caller = Client("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Await([&] { return HasAnswer(*caller, " 200 "); }));
  CHECK(Refusals(input_refusal::connections) == 9);
}

// Guards against clients that keep a request unfinished by sending it slowly.
TEST_CASE_METHOD(limited_server_fixture,
                 "http request / received too slowly / closed") {
  const auto slow = Client("GET /x HTTP/1.1\r\n");
  const auto other = Client("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(Await([&] { return HasAnswer(*other, " 200 "); }));
  clock_.Advance(milliseconds(1001));
  budget_->CloseOverdue();
  CHECK(Refusals(input_refusal::slow) == 1);
  CHECK(Await([&] {
    slow->Read();
    return slow->Closed();
  }));
}

}  // namespace
}  // namespace almond
