#include "libalmond/controllers/entry/parallel_job_controller.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

const link_id kLink(1);
const link_id kOtherLink(2);

class parallel_job_fixture {
 protected:
  parallel_job_fixture()
      : log_(clock_, "entry",
             [this](const std::string& line) { lines_ += line + "\n"; }),
        pool_(clock_, random_, data_centre_id("a")),
        jobs_(clock_, log_, metrics_, pool_,
              {[this](link_id link, const entry_run_message& message) {
                if (const auto* start = std::get_if<run_start>(&message)) {
                  starts_.emplace_back(link, *start);
                } else if (const auto* withdraw =
                               std::get_if<run_withdraw>(&message)) {
                  withdrawn_.push_back(withdraw->key);
                } else {
                  stops_.emplace_back(link, std::get<run_stop>(message));
                }
              }}) {
    rule_.name = std::string("r");
    rule_.service = service_id("s");
    rule_.max_attempts = 2;
    rule_.stretch = 1.6;
    rule_.slack = milliseconds(60);
  }

  void Announce(link_id link, const std::string& name,
                std::int64_t unused = 16000) {
    endpoint_state state;
    state.endpoint = endpoint_id(name);
    state.service = service_id("s");
    state.data_centre = data_centre_;
    state.total = {16000, 1000, 0};
    state.unused = {unused, 1000, 0};
    state.accepting = true;
    state.waiting = unused < 0 ? 1 : 0;
    state.orders_seen = starts_.size();
    jobs_.OnEndpointState(link, state);
  }
  caller_id Submit(std::uint32_t count = 1, std::int64_t cpu = 1000,
                   milliseconds timeout = milliseconds(1500),
                   const std::string& id = "j") {
    job_request request;
    request.id = job_id(id);
    request.timeout = timeout;
    request.steps = {{count, {cpu, 1, 0}, milliseconds(100), {}}};
    return jobs_.Submit(rule_, request, [this](const job_answer& answer) {
      answers_.push_back(answer);
    });
  }
  void End(std::size_t start, run_end_kind kind) {
    const auto& [link, order] = starts_.at(start);
    jobs_.OnRunEnd(link, {order.endpoint, order.key, kind, milliseconds(100)});
  }
  void AdvanceTime(duration time) {
    for (duration passed{}; passed < time;
         passed += parallel_job_controller::kTickPeriod) {
      clock_.Advance(parallel_job_controller::kTickPeriod);
      jobs_.Tick();
    }
  }

  manual_clock clock_;
  std::mt19937_64 random_{3};
  metrics_registry metrics_;
  std::string lines_;
  decision_log log_;
  endpoint_pool pool_;
  std::vector<std::pair<link_id, run_start>> starts_;
  std::vector<std::pair<link_id, run_stop>> stops_;
  std::vector<run_key> withdrawn_;
  std::vector<job_answer> answers_;
  route rule_;
  data_centre_id data_centre_{"a"};
  parallel_job_controller jobs_;
};

TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / all tasks done / answered complete") {
  Announce(kLink, "e");
  Submit(3);
  REQUIRE(starts_.size() == 3);
  End(0, run_end_kind::done);
  End(1, run_end_kind::done);
  CHECK(answers_.empty());
  End(2, run_end_kind::done);
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].outcome == job_outcome::complete);
  CHECK(jobs_.JobCount() == 0);
}

TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / task fails as often as allowed / answered "
                 "failed and the rest stopped") {
  Announce(kLink, "e");
  Submit(2);
  End(0, run_end_kind::failed);
  REQUIRE(starts_.size() == 3);
  CHECK(starts_[2].second.key.run == 2);
  CHECK(answers_.empty());
  End(2, run_end_kind::failed);
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].outcome == job_outcome::failed);
  REQUIRE(stops_.size() == 1);
  CHECK(stops_[0].second.key == starts_[1].second.key);
}

// Guards against counting a run lost by its endpoint as a failure of the task.
TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / runs lost many times / run again") {
  Announce(kLink, "e");
  Submit();
  for (std::size_t i = 0; i < 5; ++i) End(i, run_end_kind::lost);
  CHECK(starts_.size() == 6);
  CHECK(answers_.empty());
}

// Guards against repeated placement at endpoints that accept tasks without
// working on them.
TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / agent stops a run / started elsewhere, no "
                 "attempt used") {
  Announce(kLink, "e");
  Announce(kOtherLink, "f");
  Submit();
  for (std::size_t i = 0; i < 3; ++i) {
    End(i, run_end_kind::stopped);
    REQUIRE(starts_.size() == i + 2);
  }
  CHECK(starts_[0].first != starts_[1].first);
  CHECK(answers_.empty());
}

// Guards against two concurrent runs of a task: the agent behind a lost link
// may still be running it.
TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / agent's link closes / restarted only after "
                 "the in-doubt period") {
  Announce(kLink, "e");
  Submit();
  Announce(kOtherLink, "f");
  jobs_.OnLinkClosed(kLink);
  AdvanceTime(parallel_job_controller::kInDoubtPeriod - milliseconds(40));
  CHECK(starts_.size() == 1);
  AdvanceTime(milliseconds(60));
  REQUIRE(starts_.size() == 2);
  CHECK(starts_[1].first == kOtherLink);
  CHECK(starts_[1].second.key.run == 2);
}

// Guards against working for disconnected callers, and against two runs when
// they submit the job again.
TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / caller leaves / runs stopped, no answer") {
  Announce(kLink, "e");
  const caller_id caller = Submit(2);
  jobs_.RemoveCaller(job_id("j"), caller);
  CHECK(stops_.size() == 2);
  CHECK(answers_.empty());
  CHECK(jobs_.JobCount() == 0);
}

TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / submitted again while in progress / one job "
                 "with two callers") {
  Announce(kLink, "e");
  const caller_id first = Submit();
  Submit();
  CHECK(starts_.size() == 1);
  jobs_.RemoveCaller(job_id("j"), first);
  CHECK(stops_.empty());
  End(0, run_end_kind::done);
  CHECK(answers_.size() == 1);
}

// Guards against a job that one endpoint refuses for ever because of a higher
// run number from an earlier attempt.
TEST_CASE_METHOD(
    parallel_job_fixture,
    "parallel job / run number used by an earlier attempt / higher number") {
  Announce(kLink, "e");
  Submit();
  End(0, run_end_kind::superseded);
  REQUIRE(starts_.size() == 2);
  CHECK(starts_[1].second.key.run > parallel_job_controller::kRunNumberStep);
}

TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / no resources until it is too late / refused "
                 "as not run before the deadline") {
  rule_.slack = milliseconds(2000);
  Announce(kLink, "e", -16000);
  Submit(1, 1000, milliseconds(500));
  AdvanceTime(milliseconds(380));
  CHECK(answers_.empty());
  AdvanceTime(milliseconds(60));
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].outcome == job_outcome::overloaded);
  CHECK(starts_.empty());
}

TEST_CASE_METHOD(
    parallel_job_fixture,
    "parallel job / started and past its deadline / timed out and stopped") {
  Announce(kLink, "e");
  Submit(1, 1000, milliseconds(500));
  AdvanceTime(milliseconds(520));
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].outcome == job_outcome::timed_out);
  CHECK(stops_.size() == 1);
}

TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / larger than any endpoint / refused at once") {
  Announce(kLink, "e");
  Submit(1, 17000);
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].outcome == job_outcome::unavailable);
  CHECK(answers_[0].reason == refusal_reason::exceeds_capacity);
}

TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / no endpoint known / refused at once") {
  clock_.Advance(parallel_job_controller::kStartupGracePeriod);
  Submit();
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].reason == refusal_reason::no_endpoint);
}

// While nearly all resources are in use, a task that waits at one agent must
// not miss resources that become free at another.
TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / start waits and resources become free "
                 "elsewhere / withdrawn once and placed there") {
  Announce(kLink, "e", 0);
  Submit();
  REQUIRE(starts_.size() == 1);
  Announce(kOtherLink, "f", 1000);
  CHECK(withdrawn_ == std::vector<run_key>{starts_[0].second.key});
  Announce(kOtherLink, "f", 1000);
  CHECK(withdrawn_.size() == 1);
  CHECK(starts_.size() == 1);
  End(0, run_end_kind::not_run);
  REQUIRE(starts_.size() == 2);
  CHECK(starts_[1].second.endpoint == endpoint_id("f"));
}

// Guards against answering "may have run" for a job that has not run, which
// would keep its caller from retrying.
TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / start returned as not run / refused as not "
                 "run at the end") {
  Announce(kLink, "e", 0);
  Submit(1, 1000, milliseconds(500));
  REQUIRE(starts_.size() == 1);
  jobs_.OnLinkClosed(kOtherLink);
  Announce(kLink, "e", -16000);
  End(0, run_end_kind::not_run);
  AdvanceTime(milliseconds(440));
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].outcome == job_outcome::overloaded);
}

// While there is 10% more work than capacity for seconds, a job that newer ones
// overtake must not be held until its caller gives up.
TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / not started within its maximum delay / "
                 "refused with a retry time") {
  Announce(kLink, "e", -16000);
  Submit(1, 1000, milliseconds(5000));
  const milliseconds objective(100 * 16 / 10 + 60);
  AdvanceTime(objective * 6 / 10 - milliseconds(40));
  CHECK(answers_.empty());
  AdvanceTime(milliseconds(60));
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].outcome == job_outcome::overloaded);
  CHECK(answers_[0].retry_after);
}

// Guards against answering "not run" while an agent may still accept a start of
// the job.
TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / maximum delay passes while a start waits / "
                 "withdrawn first, refused once returned") {
  Announce(kLink, "e", 0);
  Submit(1, 1000, milliseconds(5000));
  REQUIRE(starts_.size() == 1);
  AdvanceTime(milliseconds(500));
  CHECK(withdrawn_.size() == 1);
  CHECK(answers_.empty());
  SECTION("returned as not run") {
    End(0, run_end_kind::not_run);
    AdvanceTime(milliseconds(20));
    CHECK(starts_.size() == 1);
    REQUIRE(answers_.size() == 1);
    CHECK(answers_[0].outcome == job_outcome::overloaded);
  }
  SECTION("started in the meantime") {
    End(0, run_end_kind::done);
    REQUIRE(answers_.size() == 1);
    CHECK(answers_[0].outcome == job_outcome::complete);
  }
}

// Guards against refusals by a restarted entry before its agents have
// reconnected.
TEST_CASE_METHOD(
    parallel_job_fixture,
    "parallel job / entry has just started / waits for endpoints") {
  Submit();
  CHECK(answers_.empty());
  Announce(kLink, "e");
  CHECK(starts_.size() == 1);
}

TEST_CASE_METHOD(
    parallel_job_fixture,
    "parallel job / dependent step / starts when its dependency ends") {
  Announce(kLink, "e");
  job_request request;
  request.id = job_id("j");
  request.timeout = milliseconds(1500);
  request.steps = {{1, {1000, 1, 0}, milliseconds(100), {}},
                   {2, {1000, 1, 0}, milliseconds(100), {0}}};
  jobs_.Submit(rule_, request, [this](const job_answer& answer) {
    answers_.push_back(answer);
  });
  CHECK(starts_.size() == 1);
  End(0, run_end_kind::done);
  CHECK(starts_.size() == 3);
  End(1, run_end_kind::done);
  End(2, run_end_kind::done);
  CHECK(answers_.size() == 1);
}

// Guards against taking the end of an earlier run for that of the current one.
TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / end of an earlier run / ignored") {
  Announce(kLink, "e");
  Submit();
  End(0, run_end_kind::lost);
  End(0, run_end_kind::done);
  CHECK(answers_.empty());
  End(1, run_end_kind::done);
  CHECK(answers_.size() == 1);
}

TEST_CASE_METHOD(parallel_job_fixture,
                 "parallel job / accepted, placed, answered / one log line "
                 "each with the job id") {
  Announce(kLink, "e");
  Submit();
  End(0, run_end_kind::done);
  for (const char* event : {"job_accepted", "run_placed", "job_answered"}) {
    CHECK(lines_.find(event) != std::string::npos);
  }
  CHECK(lines_.find("\"job\":\"j\"") != std::string::npos);
}

// Guards against a task that waits for an agent which is cut off from the
// control leader and would start it.
TEST_CASE_METHOD(
    parallel_job_fixture,
    "parallel job / start waits where is evacuated / withdrawn and "
    "placed elsewhere") {
  Announce(kLink, "e", 0);
  Submit();
  REQUIRE(starts_.size() == 1);
  pool_.SetEvacuations({evacuation_revision(1), {data_centre_id("a")}});
  jobs_.OnEvacuations();
  REQUIRE(withdrawn_.size() == 1);
  CHECK(withdrawn_[0] == starts_[0].second.key);
  End(0, run_end_kind::not_run);
  CHECK(starts_.size() == 1);
  data_centre_ = data_centre_id("b");
  Announce(kOtherLink, "f");
  REQUIRE(starts_.size() == 2);
  CHECK(starts_[1].first == kOtherLink);
}

// Guards against the claim that a job is too large for the service.
TEST_CASE_METHOD(
    parallel_job_fixture,
    "parallel job / fits only where is evacuated / refused for now") {
  Announce(kLink, "e");
  AdvanceTime(parallel_job_controller::kStartupGracePeriod);
  pool_.SetEvacuations({evacuation_revision(1), {data_centre_id("a")}});
  Submit();
  REQUIRE(answers_.size() == 1);
  CHECK(answers_[0].reason == refusal_reason::no_endpoint);
  CHECK(answers_[0].retry_after);
}

}  // namespace
}  // namespace almond
