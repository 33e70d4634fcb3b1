#include "libalmond/net/http_server.h"

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

}  // namespace
}  // namespace almond
