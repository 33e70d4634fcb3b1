#include "libalmond/net/connection_budget.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

/// A budget of 100 bytes and two connections for each listener.
class connection_budget_fixture {
 protected:
  using connection_number = connection_budget::connection_number;

  connection_budget_fixture()
      : main_(Listener(listener_kind::main)),
        probe_(Listener(listener_kind::probe)) {}

  static input_limits Limits() {
    input_limits limits;
    limits.max_connections = 2;
    limits.max_probe_connections = 2;
    limits.max_held_bytes = 100;
    limits.receive_timeout = milliseconds(1000);
    return limits;
  }
  connection_budget::listener_number Listener(listener_kind kind) {
    return budget_.AddListener(
        kind, [this](connection_number number) { closed_.push_back(number); });
  }
  /// Adds a connection one second after the one before.
  connection_number Add(connection_budget::listener_number listener) {
    clock_.Advance(std::chrono::seconds(1));
    return budget_.Add(listener);
  }
  void Answer(connection_number number) {
    budget_.OnRequest(number);
    budget_.OnAnswer(number);
    budget_.OnSent(number);
  }

  manual_clock clock_;
  std::vector<connection_number> closed_;
  std::vector<input_refusal> refusals_;
  connection_budget budget_{clock_, Limits(), [this](input_refusal reason) {
                              refusals_.push_back(reason);
                            }};
  const connection_budget::listener_number main_;
  const connection_budget::listener_number probe_;
};

// Guards against callers that lose their connection to clients that never
// finish a request.
TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget / too many connections / closes the oldest "
                 "one that was never answered") {
  const auto answered = Add(main_);
  Answer(answered);
  const auto silent = Add(main_);
  Add(main_);
  budget_.Enforce();
  CHECK(closed_ == std::vector{silent});
  CHECK(refusals_ == std::vector{input_refusal::connections});
}

TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget / too many, all answered / closes the one "
                 "that was idle for longest") {
  const auto first = Add(main_);
  const auto second = Add(main_);
  Answer(second);
  clock_.Advance(std::chrono::seconds(1));
  Answer(first);
  const auto third = Add(main_);
  Answer(third);
  budget_.Enforce();
  CHECK(closed_ == std::vector{second});
}

// Guards against a crowd of idle clients that shuts out new callers.
TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget / new clients at a full listener / closes "
                 "those that are idle") {
  const auto first = Add(main_);
  const auto second = Add(main_);
  Answer(first);
  Answer(second);
  Add(main_);
  budget_.Enforce();
  budget_.Add(main_);
  budget_.Enforce();
  CHECK(closed_ == std::vector{first, second});
}

// Guards against a request that is passed on and loses its connection.
TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget / others in progress / closes the newest") {
  budget_.OnRequest(Add(main_));
  budget_.OnRequest(Add(main_));
  const auto newest = Add(main_);
  budget_.Enforce();
  CHECK(closed_ == std::vector{newest});
}

// Guards against a crowd at one listener that takes the connections of another.
TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget / full listener / others keep theirs") {
  Add(probe_);
  const auto first = Add(main_);
  Add(main_);
  Add(main_);
  CHECK(budget_.Full(main_));
  CHECK_FALSE(budget_.Full(probe_));
  budget_.Enforce();
  CHECK(closed_ == std::vector{first});
}

TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget / too many bytes / closes the largest "
                 "holders until the rest fits") {
  const auto small = Add(main_);
  const auto large = Add(main_);
  const auto older = Add(probe_);
  budget_.SetHeld(small, 10);
  budget_.SetHeld(large, 80);
  budget_.SetHeld(older, 10);
  CHECK_FALSE(budget_.HoldsTooMuch());
  budget_.SetHeld(large, 81);
  CHECK(budget_.HoldsTooMuch());
  budget_.Enforce();
  CHECK(closed_ == std::vector{large});
  CHECK(refusals_ == std::vector{input_refusal::memory});
  CHECK_FALSE(budget_.HoldsTooMuch());
}

TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget / equal holders / closes the one with the "
                 "oldest progress") {
  const auto first = Add(main_);
  const auto second = Add(main_);
  budget_.SetHeld(first, 51);
  budget_.SetHeld(second, 51);
  clock_.Advance(std::chrono::seconds(1));
  Answer(first);
  budget_.Enforce();
  CHECK(closed_ == std::vector{second});
}

TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget / requests in progress hold too much / "
                 "none is closed") {
  const auto first = Add(main_);
  budget_.SetHeld(first, 101);
  budget_.OnRequest(first);
  budget_.Enforce();
  CHECK(closed_.empty());
  CHECK(budget_.HoldsTooMuch());
  budget_.OnAnswer(first);
  budget_.SetHeld(first, 0);
  CHECK_FALSE(budget_.HoldsTooMuch());
}

// Guards against requests that arrive byte by byte, and against the end of
// connections that are idle or whose request is in progress.
TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget / request not received in time / closed") {
  const auto slow = Add(main_);
  const auto idle = Add(probe_);
  const auto in_progress = Add(main_);
  budget_.OnReceiving(slow);
  budget_.OnReceiving(in_progress);
  budget_.OnRequest(in_progress);
  clock_.Advance(milliseconds(1000));
  budget_.CloseOverdue();
  CHECK(closed_.empty());
  clock_.Advance(milliseconds(1));
  budget_.CloseOverdue();
  CHECK(closed_ == std::vector{slow});
  CHECK(refusals_ == std::vector{input_refusal::slow});
  budget_.Remove(idle);
}

// Guards against bytes that stay counted after their listener has gone.
TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget / listener removed / its bytes are free") {
  budget_.SetHeld(Add(main_), 101);
  budget_.RemoveListener(main_);
  CHECK_FALSE(budget_.HoldsTooMuch());
  budget_.Enforce();
  CHECK(closed_.empty());
}

struct capacity_case {
  std::size_t memory_mib;
  std::size_t descriptors;
  std::size_t body_mib;
  std::size_t held_mib;
  std::size_t connections;
};

TEST_CASE("input limits / capacity of a process / shares") {
  const auto row = GENERATE(capacity_case{64, 64, 1, 16, 32},
                            capacity_case{160, 4100, 2, 40, 2050},
                            capacity_case{16384, 1024, 64, 4096, 512});
  const input_limits limits =
      LimitsFor({row.memory_mib << 20U, row.descriptors});
  CHECK(limits.max_body_bytes >> 20U == row.body_mib);
  CHECK(limits.max_held_bytes >> 20U == row.held_mib);
  CHECK(limits.max_connections == row.connections);
  // The reserve for files and outgoing connections.
  CHECK(limits.max_connections + 2 * limits.max_probe_connections +
            limits.max_peer_connections <=
        row.descriptors - row.descriptors / 8);
}

}  // namespace
}  // namespace almond
