#ifndef ALMOND_TESTS_NET_LOOP_ITERATIONS_H_
#define ALMOND_TESTS_NET_LOOP_ITERATIONS_H_

#include "libalmond/net/event_loop.h"

namespace almond {

/// Runs the loop for a number of iterations.
inline void RunIterations(event_loop& loop, int iterations) {
  for (int i = 0; i < iterations; ++i) {
    loop.Post(milliseconds(0), [&loop] { loop.Stop(); });
    loop.Run();
  }
}

}  // namespace almond

#endif  // ALMOND_TESTS_NET_LOOP_ITERATIONS_H_
