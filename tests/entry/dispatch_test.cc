#include <catch2/catch.hpp>

#include "entry/fake_network.h"
#include "libalmond/controllers/entry/request_controller.h"

namespace almond {
namespace {

/// Runs tasks against fake agents and records their results.
class dispatch_fixture {
 protected:
  explicit dispatch_fixture(std::size_t agents = 3) : net_(agents) {
    net_.on_end = [this](const task_end& end) {
      ends_[end.work.name] = end.result;
    };
  }
  std::vector<task_name> Submit(std::size_t count, milliseconds timeout) {
    std::vector<task_name> names;
    for (std::size_t i = 0; i < count; ++i) {
      auto tasks = net_.MakeTasks(1, timeout);
      names.push_back(tasks.front().name);
      net_.dispatch.SubmitAll(std::move(tasks));
    }
    return names;
  }
  refusal Failure(const task_name& name) {
    REQUIRE(ends_.count(name) == 1);
    REQUIRE(std::holds_alternative<refusal>(ends_[name]));
    return std::get<refusal>(ends_[name]);
  }
  std::uint64_t Count(const std::string& name, const std::string& labels = "") {
    return net_.metrics.Counter(name, labels).Value();
  }

  fake_network net_;
  std::map<task_name, task_result> ends_;
};

class eleven_agents : protected dispatch_fixture {
 protected:
  eleven_agents() : dispatch_fixture(11) { net_.OpenAll(); }
};

// Guards against an endpoint that fails fast and attracts work because its
// slots are soon free again.
TEST_CASE_METHOD(eleven_agents,
                 "ejection / one of 11 fails fast / under 5% of the starts") {
  net_.agents[0]->mode.fails = true;
  net_.agents[0]->mode.run_time = milliseconds(1);
  for (int i = 0; i < 500; ++i) {
    Submit(6, milliseconds(5000));
    net_.Step();
  }
  net_.Run(milliseconds(3000));
  std::size_t total = 0;
  for (const auto& agent : net_.agents) total += agent->Starts();
  CHECK(total == 3000);
  CHECK(net_.agents[0]->Starts() * 20 < total);
  CHECK(net_.dispatch.Ejected(service_id("s")) == 1);
  net_.agents[0]->mode = {};
  for (int i = 0; i < 3500; ++i) {
    if (i % 5 == 0) Submit(1, milliseconds(5000));
    net_.Step();
  }
  CHECK(net_.dispatch.Ejected(service_id("s")) == 0);
}

// Guards against failing work that ejects all endpoints of a service.
TEST_CASE_METHOD(eleven_agents,
                 "ejection / every task fails everywhere / none ejected") {
  for (auto& agent : net_.agents) agent->mode.fails = true;
  for (int i = 0; i < 300; ++i) {
    Submit(3, milliseconds(5000));
    net_.Step();
  }
  net_.Run(milliseconds(3000));
  CHECK(net_.dispatch.Ejected(service_id("s")) * 2 <= 11);
  CHECK(ends_.size() == 900);
}

// Guards against an endless loop of refused starts, and against a wrong
// outcome.
TEST_CASE_METHOD(dispatch_fixture,
                 "not-run retries / all endpoints refuse / bounded attempts") {
  net_.OpenAll();
  for (auto& agent : net_.agents) agent->mode.refuses = true;
  const auto names = Submit(1, milliseconds(5000));
  net_.Run(milliseconds(1000));
  CHECK(Failure(names[0]).reason == refusal_reason::endpoint_refused);
  CHECK(Failure(names[0]).outcome == run_outcome::not_run);
  CHECK(Count("almond_dispatch_messages_total", "type=\"start\"") ==
        dispatch_controller::kMaxNotRunAttempts);
}

// Guards against starting tasks past their deadline, and against reporting a
// started task as "not-run".
TEST_CASE_METHOD(dispatch_fixture,
                 "deadline / queued and running tasks / correct outcomes") {
  net_.OpenAll();
  for (auto& agent : net_.agents) agent->mode.run_time = milliseconds(5000);
  const auto names = Submit(20, milliseconds(500));
  net_.Run(milliseconds(1000));
  int queued = 0;
  for (const task_name& name : names) {
    const bool started = net_.starts.count(name) > 0;
    const refusal failure = Failure(name);
    CHECK(failure.reason == (started ? refusal_reason::deadline_running
                                     : refusal_reason::deadline_in_queue));
    CHECK(failure.outcome ==
          (started ? run_outcome::unknown : run_outcome::not_run));
    queued += started ? 0 : 1;
  }
  CHECK(queued == 20 - 3 * 4);
  CHECK(Count("almond_dispatch_messages_total", "type=\"cancel\"") == 3);
  net_.Run(milliseconds(6000));
  CHECK(net_.starts.size() == 12);
}

// Guards against sending one acknowledgement message per task.
TEST_CASE_METHOD(dispatch_fixture,
                 "acknowledgement / many short tasks / batched and complete") {
  net_.OpenAll();
  Submit(600, milliseconds(60000));
  net_.Run(milliseconds(6000));
  CHECK(ends_.size() == 600);
  // The agent keeps the names of acknowledged tasks for 10 s.
  net_.Run(milliseconds(12000));
  for (const auto& agent : net_.agents) CHECK(agent->Names() == 0);
  CHECK(Count("almond_dispatch_messages_total", "type=\"forget\"") < 400);
  CHECK(net_.dispatch.PendingMessages() == 0);
}

// Guards against bulk cancellation costing more than constant work per task, or
// sending messages for tasks that never left the entry.
TEST_CASE_METHOD(dispatch_fixture,
                 "cancellation / 10000 queued tasks / no messages") {
  net_.OpenAll();
  Submit(12, milliseconds(60000));
  std::vector<uuid> jobs;
  int answers = 0;
  for (int i = 0; i < 25; ++i) {
    auto tasks = net_.MakeTasks(400, milliseconds(60000));
    jobs.push_back(tasks.front().name.submission);
    net_.jobs.Submit(std::move(tasks), [&](const job_result& answer) {
      const auto& failed = std::get<job_failure>(answer);
      CHECK(failed.cause.reason == refusal_reason::cancelled);
      CHECK(failed.cause.outcome == run_outcome::not_run);
      ++answers;
    });
  }
  CHECK(net_.dispatch.Queued() == 10000);
  const std::size_t before = net_.sent.size();
  for (const uuid& id : jobs) CHECK(net_.jobs.Cancel(id));
  CHECK(answers == 25);
  CHECK(net_.dispatch.Queued() == 0);
  CHECK(net_.sent.size() == before);
  const auto next = Submit(1, milliseconds(500));
  net_.Run(milliseconds(400));
  CHECK(std::holds_alternative<task_success>(ends_.at(next[0])));
}

// Guards against tasks that start too late to meet their deadlines under
// overload, which would waste the capacity.
TEST_CASE_METHOD(dispatch_fixture,
                 "overload / step from 0.3 to 3 times / goodput stays flat") {
  net_.OpenAll();
  for (auto& agent : net_.agents) agent->mode.run_time = milliseconds(90);
  constexpr double kCapacity = 12 / 0.1;  // tasks a second
  int refused = 0;
  double due = 0;
  const auto offer = [&](double load, milliseconds time) {
    ends_.clear();
    for (milliseconds t{0}; t < time; t += fake_network::kStep) {
      for (due += load * kCapacity * 0.01; due >= 1; due -= 1) {
        const service_load now =
            net_.dispatch.ServiceLoad(service_id("s"), team_id("t"));
        if (CanMeetDeadline(now, 1, milliseconds(1000))) {
          Submit(1, milliseconds(1000));
        } else {
          ++refused;
          net_.dispatch.OnOverload(service_id("s"));
        }
      }
      net_.Step();
    }
    std::size_t done = 0;
    for (const auto& [name, end] : ends_) {
      done += std::holds_alternative<task_success>(end) ? 1 : 0;
    }
    return static_cast<double>(done) * 1000 / static_cast<double>(time.count());
  };
  offer(0.9, milliseconds(2000));
  const double one = offer(1, milliseconds(5000));
  offer(0.3, milliseconds(3000));
  offer(3, milliseconds(1000));
  const double three = offer(3, milliseconds(5000));
  CHECK(three >= 0.95 * one);
  CHECK(refused > 0);
}

struct retry_case {
  const char* name;
  bool idempotent;
  std::size_t failing;  ///< agents that fail
  bool success;
  std::size_t starts;
};

// Guards against a second start of non-idempotent work, retries beyond the
// budget, and wrong outcomes after several attempts.
TEST_CASE(
    "retry / failed attempts / only idempotent single-task requests are "
    "retried") {
  const retry_case row =
      GENERATE(retry_case{"idempotent elsewhere", true, 1, true, 2},
               retry_case{"non-idempotent", false, 1, false, 1},
               retry_case{"idempotent fails at both", true, 2, false, 2});
  fake_network net(2);
  request_controller requests(net.clock, net.metrics, net.jobs, [&] {
    return uuid::MakeV7(net.clock.WallNow(), net.random);
  });
  // Agent 1 connects later, so that the first attempt goes to agent 0.
  net.Open(0);
  net.Run(milliseconds(50));
  for (std::size_t i = 0; i < row.failing; ++i) {
    net.agents[i]->mode.fails = true;
  }
  int answers = 0;
  bool success = false;
  requests.Submit(
      net.MakeTasks(1, milliseconds(5000)), row.idempotent,
      [&](const job_result& answer) {
        ++answers;
        success = std::holds_alternative<job_success>(answer);
        if (success) return;
        CHECK(std::get<job_failure>(answer).cause.outcome == run_outcome::ran);
      });
  net.Open(1);
  net.Run(milliseconds(1000));
  INFO(row.name);
  CHECK(answers == 1);
  CHECK(success == row.success);
  CHECK(net.starts.size() == row.starts);
}

// Guards against a team exceeding its limit of running tasks.
TEST_CASE_METHOD(dispatch_fixture,
                 "quota / running limit of a team / never exceeded") {
  net_.running_limit = 5;
  net_.OpenAll();
  Submit(40, milliseconds(60000));
  std::size_t most = 0;
  for (int i = 0; i < 200; ++i) {
    net_.Step();
    most = std::max(most, net_.dispatch.TeamInFlight(team_id("t")));
  }
  CHECK(most == 5);
  CHECK(ends_.size() == 40);
}

// Guards against starting a task on an endpoint that is too small.
TEST_CASE_METHOD(dispatch_fixture,
                 "sizes / larger than any endpoint / does not fit") {
  net_.OpenAll();
  CHECK(net_.dispatch.Fits(service_id("s"), {milliseconds(0), 4000, 4096}));
  CHECK_FALSE(net_.dispatch.Fits(service_id("s"), {milliseconds(0), 4001, 0}));
  CHECK(net_.dispatch.Fits(service_id("s"), {}));
}

// The agents are cut off from the control leader and go on granting. Guards
// against starts there, and against grants that are lost for good.
TEST_CASE_METHOD(
    dispatch_fixture,
    "dispatch / data centre evacuated, its agents grant / no start "
    "until it is taken back") {
  net_.OpenAll();
  net_.dispatch.SetEvacuations(
      {evacuation_revision(1), {data_centre_id("dc1")}});
  Submit(30, milliseconds(20000));
  net_.Run(milliseconds(5000));
  CHECK(net_.dispatch.InFlight() == 0);
  CHECK(net_.dispatch.AgentCount(service_id("s")) == 0);
  CHECK(net_.dispatch.ServiceLoad(service_id("s"), team_id("t")).grants == 0);
  for (const auto& agent : net_.agents) CHECK(agent->Starts() == 0);
  net_.dispatch.SetEvacuations({evacuation_revision(2), {}});
  net_.Run(milliseconds(5000));
  CHECK(ends_.size() == 30);
}

}  // namespace
}  // namespace almond
