#include "libalmond/net/http_pool.h"

#include <catch2/catch.hpp>

#include "libalmond/net/http_server.h"

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
    pool_ = std::make_unique<http_pool>(loop_, clock_, server_.Address());
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
  std::unique_ptr<http_pool> pool_;
  std::vector<http_server::responder> held_;
  std::vector<http_call_outcome> results_;
  int open_ = 0;
};

TEST_CASE_METHOD(http_pool_fixture,
                 "http pool / burst of requests / all answered") {
  for (int i = 0; i < 20; ++i) Send("/", milliseconds(2000));
  loop_.Run();
  CHECK(results_ ==
        std::vector<http_call_outcome>(20, http_call_outcome::answered));
}

// Guards against orders that wait behind one that is never answered.
TEST_CASE_METHOD(http_pool_fixture,
                 "http pool / stalled requests / others pass, they end as "
                 "lost") {
  Send("/silent", milliseconds(400));
  Send("/silent", milliseconds(400));
  for (int i = 0; i < 3; ++i) Send("/", milliseconds(2000));
  loop_.Run();
  REQUIRE(results_.size() == 5);
  CHECK(results_[2] == http_call_outcome::answered);
  CHECK(results_[4] == http_call_outcome::lost);
}

TEST_CASE_METHOD(http_pool_fixture,
                 "http pool / nobody listens / ends as not sent") {
  server_.StopListening();
  pool_ = std::make_unique<http_pool>(loop_, clock_,
                                      socket_address{"127.0.0.1", 1});
  Send("/", milliseconds(500));
  loop_.Run();
  CHECK(results_.at(0) == http_call_outcome::not_sent);
}

TEST_CASE_METHOD(http_pool_fixture,
                 "http pool / destroyed with requests open / no call back") {
  Send("/silent", milliseconds(500));
  const auto destroy = loop_.After(milliseconds(20), [this] { pool_.reset(); });
  const auto stop = loop_.After(milliseconds(60), [this] { loop_.Stop(); });
  loop_.Run();
  CHECK(results_.empty());
}

}  // namespace
}  // namespace almond
