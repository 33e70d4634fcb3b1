#include "libalmond/net/http_connection_pool.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>

#include "libalmond/net/http_server.h"
#include "libalmond/net/socket_util.h"
#include "net/loop_iterations.h"

namespace almond {
namespace {

const socket_address kAnyPort{"127.0.0.1", 0};

class http_pool_fixture {
 protected:
  http_pool_fixture()
      : server_(loop_, [this](const http_request& request,
                              const http_server::responder& respond) {
          if (request.path == "/silent") {
            held_.push_back(respond);
          } else {
            respond({200, {}, request.body});
          }
        }) {
    REQUIRE(server_.Listen(kAnyPort));
    pool_ = std::make_unique<http_connection_pool>(loop_, clock_,
                                                   server_.Address());
  }
  ~http_pool_fixture() {
    for (const auto& respond : held_) respond({200, {}, ""});
  }
  void Send(const std::string& path, milliseconds timeout) {
    ++open_;
    pool_->Send({"POST", path, "", {}, "x"}, timeout,
                [this](const http_call_result& result) {
                  results_.push_back(result.outcome);
                  if (--open_ == 0) loop_.Stop();
                });
  }

  event_loop loop_;
  system_clock clock_;
  http_server server_;
  std::unique_ptr<http_connection_pool> pool_;
  std::vector<http_server::responder> held_;
  std::vector<http_call_outcome> results_;
  int open_ = 0;
};

// Guards against queued requests that are never sent.
TEST_CASE_METHOD(http_pool_fixture,
                 "http pool / burst of requests / all answered") {
  for (int i = 0; i < 20; ++i) Send("/", milliseconds(2000));
  loop_.Run();
  CHECK(results_ ==
        std::vector<http_call_outcome>(20, http_call_outcome::answered));
}

/// A server that answers each request and counts the connections.
class counting_server {
 public:
  explicit counting_server(event_loop& loop)
      : listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    const sockaddr_in raw = ToSockaddr(kAnyPort);
    REQUIRE(bind(listener_, reinterpret_cast<const sockaddr*>(&raw),
                 sizeof(raw)) == 0);
    REQUIRE(listen(listener_, 8) == 0);
    poll_ = loop.Every(milliseconds(1), [this] { Serve(); });
  }
  ~counting_server() {
    for (const int descriptor : accepted_) close(descriptor);
    close(listener_);
  }
  counting_server(const counting_server&) = delete;
  counting_server& operator=(const counting_server&) = delete;
  socket_address Address() const { return {kAnyPort.ip, BoundPort(listener_)}; }
  std::size_t Connections() const { return accepted_.size(); }

 private:
  void Serve() {
    const int added = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
    if (added >= 0) accepted_.push_back(added);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (const int descriptor : accepted_) {
      std::array<char, 4096> buffer{};
      if (recv(descriptor, buffer.data(), buffer.size(), 0) > 0) {
        send(descriptor, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
    }
  }

  int listener_;
  std::vector<int> accepted_;
  event_handle poll_;
};

// Guards against a new connection for each request after a pause: the timeout
// of a request must not close its connection while idle.
TEST_CASE_METHOD(http_pool_fixture,
                 "http pool / idle for longer than a request's timeout / "
                 "connection kept") {
  const counting_server server(loop_);
  pool_ =
      std::make_unique<http_connection_pool>(loop_, clock_, server.Address());
  for (int i = 0; i < 2; ++i) {
    Send("/", milliseconds(40));
    loop_.Run();
    const auto wake = loop_.After(milliseconds(120), [this] { loop_.Stop(); });
    loop_.Run();
  }
  CHECK(results_.at(1) == http_call_outcome::answered);
  CHECK(server.Connections() == 1);
}

// Guards against requests that are blocked by one that is never answered.
TEST_CASE_METHOD(
    http_pool_fixture,
    "http pool / stalled requests / end as lost, others are answered") {
  Send("/silent", milliseconds(400));
  Send("/silent", milliseconds(400));
  for (int i = 0; i < 3; ++i) Send("/", milliseconds(2000));
  loop_.Run();
  REQUIRE(results_.size() == 5);
  CHECK(results_[2] == http_call_outcome::answered);
  CHECK(results_[4] == http_call_outcome::lost);
}

// Guards against an unknown outcome if the server has received nothing.
TEST_CASE_METHOD(http_pool_fixture,
                 "http pool / closed port / ends as not sent") {
  server_.StopListening();
  pool_ = std::make_unique<http_connection_pool>(
      loop_, clock_, socket_address{"127.0.0.1", 1});
  Send("/", milliseconds(500));
  loop_.Run();
  CHECK(results_.at(0) == http_call_outcome::not_sent);
}

// Guards against a callback into an owner that has destroyed the pool.
TEST_CASE_METHOD(
    http_pool_fixture,
    "http pool / destroyed with requests in flight / no callback") {
  Send("/silent", milliseconds(500));
  const auto destroy = loop_.After(milliseconds(20), [this] { pool_.reset(); });
  const auto stop = loop_.After(milliseconds(60), [this] { loop_.Stop(); });
  loop_.Run();
  CHECK(results_.empty());
}

// Guards against a connection that is never closed.
TEST_CASE_METHOD(http_pool_fixture,
                 "http pool / loop ends before a result is delivered / "
                 "destroyed") {
  for (int iterations = 0; iterations < 10; ++iterations) {
    auto captured = std::make_shared<int>();
    const std::weak_ptr<int> observed = captured;
    {
      event_loop other;
      http_connection_pool pool(other, clock_, {"127.0.0.1", 1});
      pool.Send({"GET", "/", "", {}, ""}, milliseconds(500),
                [captured = std::move(captured)](
                    const http_call_result& /*result*/) {});
      RunIterations(other, iterations);
    }
    CHECK(observed.expired());
  }
}

}  // namespace
}  // namespace almond
