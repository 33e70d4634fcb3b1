#include "libalmond/controllers/entry/job_admission.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

class job_admission_fixture {
 protected:
  job_admission_fixture() : admission_(clock_) {}

  std::optional<job_answer> Check(milliseconds timeout,
                                  std::int64_t queued_core_ms) {
    job_request job;
    job.timeout = timeout;
    return admission_.Check(job, milliseconds(100),
                            {160'000, 0, milliseconds(queued_core_ms)});
  }

  manual_clock clock_;
  job_admission admission_;
};

TEST_CASE_METHOD(job_admission_fixture,
                 "job admission / nothing queued / accepted") {
  CHECK_FALSE(Check(milliseconds(50), 0));
}

// Guards against queueing jobs that cannot be served before their callers give
// up, while three times the capacity is asked for over a longer time.
TEST_CASE_METHOD(job_admission_fixture,
                 "job admission / queue longer than the caller waits / refused "
                 "at once with the expected wait") {
  // This entry places 20 core-milliseconds of work per millisecond.
  admission_.RecordPlacement(milliseconds(20'000));
  const auto refused = Check(milliseconds(1500), 40'000);
  REQUIRE(refused);
  CHECK(refused->outcome == job_outcome::overloaded);
  CHECK(refused->retry_after == milliseconds(2000));
  CHECK_FALSE(Check(milliseconds(3000), 40'000));
}

TEST_CASE_METHOD(job_admission_fixture,
                 "job admission / no measured rate / minimum share of the "
                 "capacity assumed") {
  // A twentieth of 160 cores gives 8 core-milliseconds per millisecond.
  CHECK_FALSE(Check(milliseconds(1500), 8'000));
  CHECK(Check(milliseconds(1500), 16'000));
}

TEST_CASE("critical path / dependent steps / longest sum") {
  const std::vector<job_step> steps = {{1, {}, milliseconds(10), {}},
                                       {1, {}, milliseconds(50), {}},
                                       {1, {}, milliseconds(20), {0}},
                                       {1, {}, milliseconds(30), {1, 2}}};
  CHECK(CriticalPath(steps) == milliseconds(80));
}

}  // namespace
}  // namespace almond
