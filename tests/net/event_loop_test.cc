#include "libalmond/net/event_loop.h"

#include <catch2/catch.hpp>
#include <csignal>

namespace almond {
namespace {

class signal_fixture {
 protected:
  signal_fixture() { event_loop::IgnoreUnhandledSignal(SIGHUP); }
  ~signal_fixture() { std::signal(SIGHUP, SIG_DFL); }
  signal_fixture(const signal_fixture&) = delete;
  signal_fixture& operator=(const signal_fixture&) = delete;
};

// Guards against a reload signal that ends a control process after the loop
// that determines its place among the replicas and before the loop that
// serves requests.
TEST_CASE_METHOD(signal_fixture,
                 "event loop / signal between two loops / is ignored") {
  int handled = 0;
  {
    event_loop loop;
    const event_handle handler = loop.OnSignal(SIGHUP, [&] {
      ++handled;
      loop.Stop();
    });
    loop.Post(milliseconds(0), [] { std::raise(SIGHUP); });
    loop.Run();
  }
  std::raise(SIGHUP);
  CHECK(handled == 1);
}

// Guards against callbacks that are never destroyed, with all they refer to.
TEST_CASE("event loop / ends before a posted callback / destroys it") {
  auto captured = std::make_shared<int>();
  const std::weak_ptr<int> observed = captured;
  {
    event_loop loop;
    loop.Post(std::chrono::hours(1), [captured = std::move(captured)] {});
  }
  CHECK(observed.expired());
}

// Guards against the use of a destroyed loop by what a callback refers to.
TEST_CASE(
    "event loop / posts while its callbacks are destroyed / destroys these "
    "too") {
  int destroyed = 0;
  {
    event_loop loop;
    const auto count = [&destroyed](const int* object) {
      ++destroyed;
      delete object;
    };
    const auto post = [&loop, count](const int* object) {
      delete object;
      loop.Post(milliseconds(0),
                [inner = std::shared_ptr<int>(new int(), count)] {});
    };
    loop.Post(milliseconds(0),
              [outer = std::shared_ptr<int>(new int(), post)] {});
  }
  CHECK(destroyed == 1);
}

}  // namespace
}  // namespace almond
