#ifndef ALMOND_BENCH_CHECKER_CALL_RECORD_H_
#define ALMOND_BENCH_CHECKER_CALL_RECORD_H_

#include <cstddef>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"

namespace almond {

/// One submission of the offered load; it may be sent in several calls.
struct offered_work {
  bool is_job = false;
  bool idempotent = false;
  std::string id;  ///< submission id; empty for a request or job without id
  std::vector<std::string> bodies;  ///< one for each task, unique in the run
};

/// One call to an entry and its result.
struct call_record {
  std::size_t work = 0;   ///< index of the offered work
  std::size_t entry = 0;  ///< index of the entry that was called
  bool resend = false;    ///< a resubmission
  bool audit = false;  ///< resubmitted after the load, to detect lost records
  wall_time sent;
  wall_time ended;
  int status = 0;       ///< HTTP status; 0 without a complete response
  std::string reason;   ///< "complete", or why the call failed
  std::string outcome;  ///< value of the header Almond-Outcome
  std::string body;     ///< of the response
};

}  // namespace almond

#endif  // ALMOND_BENCH_CHECKER_CALL_RECORD_H_
