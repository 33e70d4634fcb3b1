#include "libalmond/controllers/entry/endpoint_pool.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

const link_id kLink(1);
/// Unused CPU of an endpoint that is fully in use.
constexpr std::int64_t kFull = 0;

class endpoint_pool_fixture {
 protected:
  endpoint_pool_fixture() : pool_(clock_, random_, data_centre_id("a")) {}

  void Announce(const std::string& name, std::int64_t unused = 10000,
                std::uint64_t seen = 0, std::uint32_t waiting = 0,
                std::uint32_t waiting_priority = 0) {
    endpoint_state state;
    state.endpoint = endpoint_id(name);
    state.service = service_id("s");
    state.data_centre = data_centre_;
    state.cold_left = cold_left_;
    state.total = {16000, 1000, 0};
    state.unused = {unused, 1000, 0};
    state.accepting = true;
    state.orders_seen = seen;
    state.waiting = waiting;
    state.waiting_priority = waiting_priority;
    pool_.Update(kLink, state);
  }
  static placement_request Request(std::int64_t cpu = 1000,
                                   std::uint32_t priority = 0) {
    return {service_id("s"), {cpu, 1, 0}, milliseconds(100), priority, {}};
  }
  std::optional<endpoint_key> ChooseEndpoint(
      std::int64_t cpu = 1000, std::vector<endpoint_id> failed = {}) {
    placement_request request = Request(cpu);
    request.failed_at = std::move(failed);
    return pool_.ChooseEndpoint(request);
  }
  /// Simulates one run at an endpoint.
  void Run(const std::string& name, run_end_kind kind, milliseconds ran) {
    const run_key key{job_id("j"), 0, 0, ++index_, 1};
    const endpoint_key place{kLink, endpoint_id(name)};
    pool_.RecordPlacement(place, key, {}, milliseconds(100));
    pool_.OnRunEnd(place, {endpoint_id(name), key, kind, ran});
  }
  std::size_t ChosenOf(const std::string& name, int tries) {
    std::size_t chosen = 0;
    for (int i = 0; i < tries; ++i) {
      const auto place = ChooseEndpoint();
      if (place && place->endpoint.Value() == name) ++chosen;
    }
    return chosen;
  }

  manual_clock clock_;
  std::mt19937_64 random_{7};
  endpoint_pool pool_;
  std::uint32_t index_ = 0;
  data_centre_id data_centre_{"a"};
  milliseconds cold_left_{0};
};

// Guards against assigning the same resources twice between two state messages.
TEST_CASE_METHOD(endpoint_pool_fixture,
                 "endpoint pool / order not covered by the state / resources "
                 "counted as used") {
  Announce("e", 1500);
  const auto place = ChooseEndpoint();
  REQUIRE(place);
  const auto [order, timestamp] = pool_.RecordPlacement(
      *place, {job_id("j"), 0, 0, 0, 1}, {1000, 1, 0}, milliseconds(100));
  CHECK_FALSE(ChooseEndpoint());
  Announce("e", 1500, order - 1);
  CHECK_FALSE(ChooseEndpoint());
  Announce("e", 1500, order);
  CHECK(ChooseEndpoint());
}

// With as much work as capacity, a start may wait at an agent, but not while
// another endpoint has free resources.
TEST_CASE_METHOD(
    endpoint_pool_fixture,
    "endpoint pool / no free resources / start waits where least is missing") {
  Announce("full", 0);
  Announce("nearly", 900);
  CHECK_FALSE(ChooseEndpoint());
  const auto place = pool_.ChooseWaitingPlace(Request());
  REQUIRE(place);
  CHECK(place->endpoint == endpoint_id("nearly"));
  pool_.RecordPlacement(*place, {job_id("j"), 0, 0, 0, 1}, {1000, 1, 0},
                        milliseconds(100));
  CHECK(pool_.ChooseWaitingPlace(Request())->endpoint == endpoint_id("full"));
}

// While all entries have queues, a start that waits at an agent stays bound to
// its endpoint and may miss its objective there. Therefore only few starts may
// wait; those of a higher-priority route overtake the others.
TEST_CASE_METHOD(endpoint_pool_fixture,
                 "endpoint pool / another order waits there / only one of a "
                 "higher priority joins it") {
  Announce("e", 0, 0, 1, 1);
  CHECK_FALSE(pool_.ChooseWaitingPlace(Request(1000, 1)));
  CHECK_FALSE(pool_.ChooseWaitingPlace(Request(1000, 2)));
  CHECK(pool_.ChooseWaitingPlace(Request(1000, 0)));
}

// Guards against placing tasks at a slow endpoint, since a parallel job takes
// as long as its slowest task.
TEST_CASE_METHOD(endpoint_pool_fixture,
                 "endpoint pool / one endpoint four times slower / others "
                 "preferred") {
  for (const char* name : {"a", "b", "slow"}) Announce(name);
  for (int i = 0; i < 20; ++i) {
    Run("a", run_end_kind::done, milliseconds(100));
    Run("b", run_end_kind::done, milliseconds(100));
    Run("slow", run_end_kind::done, milliseconds(400));
  }
  CHECK(ChosenOf("slow", 100) == 0);
  Announce("a", kFull);
  Announce("b", kFull);
  CHECK(ChosenOf("slow", 1) == 1);
}

// Guards against an endpoint that fails at once attracting most of the work, as
// it always has free resources.
TEST_CASE_METHOD(endpoint_pool_fixture,
                 "endpoint pool / one endpoint fails all runs / only probed") {
  for (const char* name : {"a", "b", "bad"}) Announce(name);
  for (int i = 0; i < 5; ++i) Run("bad", run_end_kind::failed, milliseconds(1));
  Announce("a", kFull);
  Announce("b", kFull);
  clock_.Advance(endpoint_pool::kProbePeriod);
  const auto probe = ChooseEndpoint();
  REQUIRE(probe);
  pool_.RecordPlacement(*probe, {job_id("p"), 0, 0, 0, 1}, {},
                        milliseconds(100));
  CHECK_FALSE(ChooseEndpoint());
  clock_.Advance(endpoint_pool::kProbePeriod);
  CHECK(ChooseEndpoint());
}

// Guards against avoiding all endpoints because of work that fails everywhere.
TEST_CASE_METHOD(endpoint_pool_fixture,
                 "endpoint pool / most endpoints look faulty / none avoided") {
  for (const char* name : {"a", "b", "c"}) {
    Announce(name);
    for (int i = 0; i < 5; ++i) {
      Run(name, run_end_kind::failed, milliseconds(1));
    }
  }
  CHECK(ChosenOf("a", 100) > 0);
  CHECK(ChosenOf("b", 100) > 0);
}

// Guards against placing tasks at an endpoint whose runs make no progress.
TEST_CASE_METHOD(endpoint_pool_fixture,
                 "endpoint pool / runs overdue at one endpoint / avoided") {
  for (const char* name : {"a", "b", "stuck"}) Announce(name);
  for (std::uint32_t i = 0; i < 3; ++i) {
    pool_.RecordPlacement({kLink, endpoint_id("stuck")},
                          {job_id("s"), 0, 0, i, 1}, {}, milliseconds(100));
  }
  clock_.Advance(milliseconds(300));
  CHECK(ChosenOf("stuck", 100) == 0);
}

TEST_CASE_METHOD(endpoint_pool_fixture,
                 "endpoint pool / task failed at an endpoint / others "
                 "preferred while one is free") {
  Announce("a");
  Announce("b");
  for (int i = 0; i < 20; ++i) {
    CHECK(ChooseEndpoint(1000, {endpoint_id("a")})->endpoint ==
          endpoint_id("b"));
  }
  Announce("b", kFull);
  CHECK(ChooseEndpoint(1000, {endpoint_id("a")})->endpoint == endpoint_id("a"));
}

TEST_CASE_METHOD(endpoint_pool_fixture,
                 "endpoint pool / link closed / its endpoints are removed") {
  Announce("a");
  pool_.RemoveLink(kLink);
  CHECK_FALSE(ChooseEndpoint());
  CHECK_FALSE(pool_.HasEndpoint(service_id("s")));
}

// The agent of an evacuated data centre may be cut off from the control leader
// and report that it accepts starts.
TEST_CASE_METHOD(endpoint_pool_fixture,
                 "endpoint pool / data centre evacuated / not chosen and not "
                 "counted, though its agent accepts") {
  Announce("here");
  data_centre_ = data_centre_id("b");
  Announce("there", 4000);
  pool_.SetEvacuations({evacuation_revision(1), {data_centre_id("a")}});
  CHECK(ChosenOf("there", 20) == 20);
  CHECK(pool_.TotalCpu(service_id("s")) == 16000);
  CHECK(pool_.UnusedCpu(service_id("s")) == 4000);
  data_centre_ = data_centre_id("a");
  Announce("here");
  CHECK(ChosenOf("there", 20) == 20);
  pool_.SetEvacuations(
      {evacuation_revision(2), {data_centre_id("a"), data_centre_id("b")}});
  CHECK_FALSE(ChooseEndpoint());
  CHECK_FALSE(pool_.ChooseWaitingPlace(Request()));
  CHECK_FALSE(pool_.HasEndpoint(service_id("s")));
  CHECK(pool_.FitsWhenIdle(service_id("s"), {16000, 1, 0}));
  pool_.SetEvacuations({evacuation_revision(3), {}});
  CHECK(ChosenOf("here", 20) > 0);
}

TEST_CASE_METHOD(endpoint_pool_fixture,
                 "endpoint pool / endpoint cold / avoided while it lasts, its "
                 "failures and slowness forgotten") {
  Announce("warm");
  cold_left_ = milliseconds(1000);
  Announce("cold");
  CHECK(ChosenOf("cold", 50) == 0);
  for (int i = 0; i < 10; ++i) {
    Run("cold", run_end_kind::done, milliseconds(400));
  }
  for (int i = 0; i < 4; ++i) {
    Run("cold", run_end_kind::failed, milliseconds(10));
  }
  clock_.Advance(milliseconds(1000));
  cold_left_ = milliseconds(0);
  Announce("cold");
  Announce("warm");
  CHECK(ChosenOf("cold", 200) > 50);
}

}  // namespace
}  // namespace almond
