#include "libalmond/filters/entry_filters.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

/// Both filter chains with inputs set by the test.
class filters_fixture {
 protected:
  filters_fixture() {
    service_config& service = config_.services[service_id("s")];
    service.team = team_id("t");
    service.max_tasks_per_job = 3;
    service.max_body_bytes = 10;
    service.rules = {{request_kind("read"), true}};
    config_.teams[team_id("t")].max_queued_tasks = 100;
    load_.agents = 1;
    request_.service = service_id("s");
    request_.tasks = {{"body", {}}};
  }
  entry_filter_inputs Inputs() {
    return {clock_,
            [this] { return draining_; },
            [this] { return configured_ ? &config_ : nullptr; },
            {[this](const service_id&, const team_id&) { return load_; },
             [](const service_id&, const task_size& size) {
               return size.cpu_milli <= 1000;
             },
             [this](const team_id&) { return team_queued_; },
             [this](const service_id&) { ++overloads_; }}};
  }
  std::optional<refusal> Run() {
    if (auto refused = MakeEntryFilters(Inputs()).Run(request_)) return refused;
    return MakeAdmissionFilters(Inputs()).Run(request_);
  }

  manual_clock clock_;
  data_centre_config config_;
  request_context request_;
  service_load load_;
  std::size_t team_queued_ = 0;
  int overloads_ = 0;
  bool draining_ = false;
  bool configured_ = true;
};

// Guards against a request that exceeds a limit and passes, or is refused for
// the wrong reason.
TEST_CASE_METHOD(filters_fixture,
                 "entry filters / one fault each / its reason") {
  const int row = GENERATE(range(0, 10));
  const std::pair<std::function<void()>, refusal_reason> rows[] = {
      {[&] { draining_ = true; }, refusal_reason::draining},
      {[&] { configured_ = false; }, refusal_reason::no_configuration},
      {[&] { request_.service = service_id("x"); },
       refusal_reason::unknown_service},
      {[&] { request_.team = team_id("x"); }, refusal_reason::unknown_team},
      {[&] { request_.tasks.resize(4); }, refusal_reason::too_many_tasks},
      {[&] { request_.tasks[0].body = "01234567890"; },
       refusal_reason::body_too_large},
      {[&] { load_.agents = 0; }, refusal_reason::no_endpoint},
      {[&] { request_.tasks[0].size.cpu_milli = 1001; },
       refusal_reason::exceeds_capacity},
      {[&] { team_queued_ = 100; }, refusal_reason::team_quota},
      {[&] {
         load_.tasks_per_second = 10;
         load_.queued = load_.team_queued = 50;
       },
       refusal_reason::overloaded}};
  INFO("row " << row);
  rows[row].first();
  const auto refused = Run();
  REQUIRE(refused);
  CHECK(refused->reason == rows[row].second);
  CHECK(refused->outcome == run_outcome::not_run);
  CHECK(overloads_ == (rows[row].second == refusal_reason::overloaded ? 1 : 0));
}

// Guards against refusing a request that can be served.
TEST_CASE_METHOD(filters_fixture, "entry filters / good request / completed") {
  request_.kind = request_kind("read");
  request_.timeout = milliseconds(1000000);
  load_.tasks_per_second = 10;
  load_.queued = load_.team_queued = 100;
  CHECK_FALSE(Run());
  CHECK(request_.idempotent);
  CHECK(request_.team == team_id("t"));
  CHECK(request_.deadline == clock_.SteadyNow() + milliseconds(60000));
}

struct load_case {
  std::size_t queued;
  std::size_t tasks;
  std::optional<double> tasks_per_second;
  milliseconds left;
  bool admitted;
};

// Guards against refusals before the first measurement, against admitting jobs
// whose last task starts too late, and against a queue that outlasts a peak. A
// job's own tasks do not count as queued.
TEST_CASE("admission / measured rate and time left / whole jobs only") {
  const auto row =
      GENERATE(load_case{1000, 400, std::nullopt, milliseconds(1), true},
               load_case{0, 1, 100.0, milliseconds(200), true},
               load_case{10, 60, 100.0, milliseconds(1000), true},
               load_case{10, 70, 100.0, milliseconds(1000), false},
               load_case{17, 1, 100.0, milliseconds(1000), true},
               load_case{19, 1, 100.0, milliseconds(1000), false},
               load_case{90, 1, 100.0, milliseconds(5000), true},
               load_case{100, 1, 100.0, milliseconds(5000), false});
  service_load load;
  load.queued = load.team_queued = row.queued;
  load.tasks_per_second = row.tasks_per_second;
  load.run_time_p90 = milliseconds(100);
  CHECK(CanMeetDeadline(load, row.tasks, row.left) == row.admitted);
}

}  // namespace
}  // namespace almond
