#include <signal.h>

#include <catch2/catch.hpp>

#include "outside_clients/attacked_program.h"
#include "outside_clients/client_crowd.h"

namespace almond {
namespace {

constexpr std::size_t kCrowd = 12;
constexpr std::size_t kBytesEach = std::size_t{8} << 20U;
constexpr std::size_t kMaxGrowthMib = 48;
/// More clients than the settings allow connections.
constexpr std::size_t kManyClients = 48;
constexpr std::size_t kMaxAddedDescriptors = 24;

/// Programs under attack, and what must hold during and after it.
class outside_clients_fixture {
 protected:
  void Attack(const attacked_listener& listener, std::size_t descriptors = 0) {
    INFO(listener.program);
    program_ = std::make_unique<attacked_program>(listener, descriptors);
  }
  /// @param clients number of connections
  client_crowd& Crowd(std::size_t clients) {
    crowd_ = std::make_unique<client_crowd>(program_->Address(), clients);
    return *crowd_;
  }
  /// Checks what must hold while the crowd is connected and after it has left.
  void CheckHolds() {
    CHECK(program_->Answers());
    CHECK(program_->AddedDescriptors() <= kMaxAddedDescriptors);
    crowd_.reset();
    CHECK(program_->Answers());
    CHECK_FALSE(program_->Ended());
    CHECK(program_->PeakGrowthMib() <= kMaxGrowthMib);
    CHECK(program_->AwaitAddedDescriptors(kMaxAddedDescriptors));
  }

  std::unique_ptr<attacked_program> program_;
  std::unique_ptr<client_crowd> crowd_;
};

attacked_listener AnyListener() {
  return GENERATE(
      attacked_listener{"entry", true, "http", "/"},
      attacked_listener{"entry", true, "ready", "/almondproxy/readyz"},
      attacked_listener{"entry", true, "metrics", "/metrics"},
      attacked_listener{"agent", true, "http", "/"},
      attacked_listener{"agent", true, "metrics", "/metrics"},
      attacked_listener{"control", true, "http", "/metrics"},
      attacked_listener{"entry", false, "http", "/healthz"},
      attacked_listener{"entry", false, "http", "/metrics"},
      attacked_listener{"agent", false, "http", "/healthz"},
      attacked_listener{"control", false, "http", "/healthz"});
}

std::string Name(const attacked_listener& listener) {
  return std::string(listener.program) +
         (listener.platform ? " platform " : " ") + listener.name + " " +
         listener.path;
}

// Guards against memory that grows with the bodies that clients announce and
// send, all of them unfinished.
TEST_CASE_METHOD(outside_clients_fixture,
                 "program / bodies announced far over the limit / memory "
                 "bounded, answers") {
  const attacked_listener listener = AnyListener();
  INFO(Name(listener));
  Attack(listener);
  Crowd(kCrowd).Send(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n",
      std::string(1U << 16U, 'x'), kBytesEach);
  CheckHolds();
}

// Guards against the same for bodies whose length is not announced.
TEST_CASE_METHOD(outside_clients_fixture,
                 "program / bodies in chunks far over the limit / memory "
                 "bounded, answers") {
  const attacked_listener listener = AnyListener();
  INFO(Name(listener));
  Attack(listener);
  Crowd(kCrowd).Send(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
      "10000\r\n" + std::string(1U << 16U, 'x') + "\r\n", kBytesEach);
  CheckHolds();
}

// Guards against memory that grows with the requests that clients send ahead
// without reading the answers.
TEST_CASE_METHOD(outside_clients_fixture,
                 "program / requests sent ahead, answers unread / memory "
                 "bounded, answers") {
  const attacked_listener listener = AnyListener();
  INFO(Name(listener));
  Attack(listener);
  Crowd(kCrowd).Send("",
                     "GET " + std::string(listener.path) + " HTTP/1.1\r\n\r\n",
                     kBytesEach);
  CheckHolds();
}

// Guards against the same for clients that end with a reset.
TEST_CASE_METHOD(outside_clients_fixture,
                 "program / requests sent ahead, then reset / memory bounded, "
                 "answers") {
  const attacked_listener listener = AnyListener();
  INFO(Name(listener));
  Attack(listener);
  Crowd(kCrowd).Send(
      "", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nabcdef",
      kBytesEach);
  crowd_->Reset();
  CheckHolds();
}

// Guards against descriptors that are held by clients that never finish a
// request, and against callers that are not accepted because of them.
TEST_CASE_METHOD(outside_clients_fixture,
                 "program / many unfinished headers / descriptors bounded, "
                 "answers") {
  const attacked_listener listener = AnyListener();
  INFO(Name(listener));
  Attack(listener);
  Crowd(kManyClients).Send("GET / HTTP/1.1\r\nHost:", "", 1000);
  CheckHolds();
}

TEST_CASE_METHOD(outside_clients_fixture,
                 "program / many unfinished bodies / descriptors bounded, "
                 "answers") {
  const attacked_listener listener = AnyListener();
  INFO(Name(listener));
  Attack(listener);
  Crowd(kManyClients)
      .Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx", "",
            1000);
  CheckHolds();
}

TEST_CASE_METHOD(outside_clients_fixture,
                 "program / many half-closed clients / descriptors bounded, "
                 "answers") {
  const attacked_listener listener = AnyListener();
  INFO(Name(listener));
  Attack(listener);
  Crowd(kManyClients)
      .Send("GET " + std::string(listener.path) + " HTTP/1.1\r\n\r\n", "",
            1000);
  crowd_->HalfClose();
  CheckHolds();
}

// Guards against a process that ends when it reads its settings again while
// clients hold all of its descriptors.
TEST_CASE_METHOD(outside_clients_fixture,
                 "platform program / clients hold the descriptors, settings "
                 "read again / answers") {
  const attacked_listener listener =
      GENERATE(attacked_listener{"entry", true, "http", "/"},
               attacked_listener{"agent", true, "http", "/"},
               attacked_listener{"control", true, "http", "/metrics"});
  INFO(Name(listener));
  constexpr std::size_t kDescriptors = 64;
  Attack(listener, kDescriptors);
  Crowd(2 * kDescriptors).Send("GET / HTTP/1.1\r\nHost:", "", 1000);
  program_->Signal(SIGHUP);
  CheckHolds();
}

}  // namespace
}  // namespace almond
