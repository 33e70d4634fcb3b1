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

}  // namespace
}  // namespace almond
