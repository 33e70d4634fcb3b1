#ifndef ALMOND_BENCH_CHECKER_CALL_RECORD_H_
#define ALMOND_BENCH_CHECKER_CALL_RECORD_H_

#include <cstddef>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"

namespace almond {

/// One submission that the checker offers, however often it is sent.
struct offered_work {
  bool is_job = false;
  bool idempotent = false;
  std::string id;                   ///< submission id; empty if plain
  std::vector<std::string> bodies;  ///< of its tasks, unique in the run
};

/// One call of an entry and what came back.
struct call_record {
  std::size_t work = 0;   ///< index of the offered work
  std::size_t entry = 0;  ///< index of the entry that was called
  bool again = false;     ///< a resubmission
  bool audit = false;     ///< sent after the load, to read the answer again
  wall_time sent;
  wall_time ended;
  int status = 0;       ///< HTTP status; 0 without a whole response
  std::string reason;   ///< "complete", the refusal's or the client's own
  std::string outcome;  ///< header Almond-Outcome
  std::string body;     ///< of the response
};

}  // namespace almond

#endif  // ALMOND_BENCH_CHECKER_CALL_RECORD_H_
