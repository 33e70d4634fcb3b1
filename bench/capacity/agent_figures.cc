#include <deque>
#include <memory>
#include <utility>
#include <vector>

#include "bench/capacity/figures.h"
#include "bench/capacity/samples.h"
#include "bench/capacity/slope.h"
#include "libalmond/controllers/agent/agent_controller.h"
#include "libalmond/controllers/agent/start_table.h"
#include "libalmond/wire/dispatch_codec.h"

namespace almond::bench {
namespace {

/// Starts in 100 ms of the manual clock.
constexpr std::size_t kStartsPerTick = 8;
constexpr milliseconds kTick{100};

/// An agent's controller with an endpoint that finishes each task immediately.
class agent_bench {
 public:
  explicit agent_bench(std::size_t entries) {
    endpoint_.service = service_id("geurmatch");
    endpoint_.address = {"127.0.0.1", 9000};
    endpoint_.slots = kSlots;
    endpoint_.cpu_milli = 16000;
    endpoint_.memory_mib = 32768;
    agent_controller::hooks hooks;
    hooks.send = [this](link_id link, const agent_message& message) {
      Take(link, message);
    };
    hooks.start = [this](run_id run, const socket_address& /*address*/,
                         const start_message& /*start*/) {
      runs_.push_back(run);
    };
    hooks.control = [](run_id, const socket_address&, const task_name&,
                       task_control) {};
    hooks.wake = [] {};
    agent_ = std::make_unique<agent_controller>(
        clock_, metrics_,
        agent_controller::identity{agent_id("agent-1"), incarnation_id(1),
                                   data_centre_id("nl-west-1")},
        std::move(hooks));
    for (std::size_t i = 0; i < entries; ++i) {
      agent_->OnEntryConnected(link_id(i + 1));
    }
    agent_->OnAnnouncement(endpoint_);
    agent_->Flush();
  }

  /// Starts a task with an available grant, finishes it and acknowledges its
  /// answer.
  /// @returns false if no grant is available
  bool RunTask(std::uint64_t number) {
    if (grants_.empty()) return false;
    const auto [link, grant] = grants_.front();
    grants_.pop_front();
    const start_message start = SampleStart(SampleTask(number, clock_), grant);
    Deliver(link, start);
    agent_->Flush();
    while (!runs_.empty()) {
      const run_id run = runs_.front();
      runs_.pop_front();
      agent_->OnStartResult(
          run, {start_outcome::done, 200, std::string(kBodyBytes, 'a')});
    }
    agent_->Flush();
    forgets_.names.push_back(start.name);
    if (forgets_.names.size() == kStartsPerTick) {
      Deliver(link, std::exchange(forgets_, {}));
    }
    return true;
  }

  /// Advances the clock by 100 ms and runs the agent's periodic work.
  void Tick() {
    clock_.Advance(kTick);
    agent_->OnAnnouncement(endpoint_);
    agent_->Tick();
    agent_->Flush();
  }

  void Announce() { agent_->Announce(); }

 private:
  void Deliver(link_id link, const entry_message& message) {
    const auto decoded = DecodeEntryMessage(EncodeEntryMessage(message));
    if (decoded) agent_->OnMessage(link, *decoded);
  }

  void Take(link_id link, const agent_message& message) {
    (void)DecodeAgentMessage(EncodeAgentMessage(message));
    if (const auto* answer = std::get_if<answer_message>(&message)) {
      if (answer->next_grant) grants_.emplace_back(link, *answer->next_grant);
    }
    if (const auto* sent = std::get_if<grant_message>(&message)) {
      for (const grant_id grant : sent->grants) {
        grants_.emplace_back(link, grant);
      }
    }
  }

  manual_clock clock_;
  metrics_registry metrics_;
  endpoint_announcement endpoint_;
  std::unique_ptr<agent_controller> agent_;
  std::deque<std::pair<link_id, grant_id>> grants_;
  std::deque<run_id> runs_;
  acknowledge_message forgets_;
};

measurement RunStarts(std::size_t entries, std::size_t starts) {
  agent_bench agent(entries);
  const cost_meter used;
  for (std::size_t i = 0; i < starts; ++i) {
    if (!agent.RunTask(i)) agent.Tick();
    if (i % kStartsPerTick == 0) agent.Tick();
    if (i % (kStartsPerTick * 10) == 0) agent.Announce();
  }
  return used.Read();
}

/// Measures the cost of filling a start table with ended tasks of named
/// submissions.
measurement FillTable(std::size_t names, std::size_t body) {
  const manual_clock clock;
  start_table table(clock, incarnation_id(1), {});
  std::vector<uuid> submissions;
  for (std::size_t i = 0; i < names / 40 + 1; ++i) {
    submissions.push_back(SampleId(i, clock.WallNow()));
  }
  const cost_meter used;
  for (std::size_t i = 0; i < names; ++i) {
    const task_name name{submissions[i / 40],
                         static_cast<std::uint32_t>(i % 40)};
    (void)table.Begin(name, owner_epoch(1));
    answer_message answer = SampleAnswer(name, grant_id(1));
    answer.body.assign(body, 'a');
    table.End(answer);
  }
  return used.Read();
}

}  // namespace

void PrintAgent(std::size_t repeats) {
  PrintSlope(
      "agent: start to answer with codec at both ends, 2 entries, by "
      "start",
      {4000, 8000, 16000}, repeats,
      [](std::size_t size) { return RunStarts(2, size); });
  PrintSlope("agent: 2000 starts, by connected entry", {2, 8, 32, 128}, repeats,
             [](std::size_t size) { return RunStarts(size, 2000); });
}

void PrintAgentLinks(std::size_t repeats) {
  const std::vector<std::size_t> sizes = {8, 32, 128, 512};
  PrintSlope("agent: connected entry, by entry", sizes, repeats,
             [](std::size_t size) {
               const cost_meter used;
               const agent_bench agent(size);
               return used.Read();
             });
  PrintSlope(
      "agent: one second without starts (10 ticks, 1 announcement), by entry",
      sizes, repeats, [](std::size_t size) {
        agent_bench agent(size);
        const cost_meter used;
        for (int i = 0; i < 10; ++i) agent.Tick();
        agent.Announce();
        return used.Read();
      });
}

void PrintStartTable(std::size_t repeats) {
  PrintSlope("start_table: names with answers without body, by name",
             {5000, 20000, 80000}, repeats,
             [](std::size_t size) { return FillTable(size, 0); });
  PrintSlope("start_table: 5000 names, by byte of each answer",
             {100, 400, 1600, 6400}, repeats,
             [](std::size_t size) { return FillTable(5000, size); });
}

}  // namespace almond::bench
