#include "bench/policy/retry_fleet.h"

#include <utility>

#include "libalmond/controllers/entry/service_load.h"

namespace almond::bench {
namespace {

const service_id kService("geurmatch");
constexpr milliseconds kAgentTick{100};
constexpr milliseconds kEntryTick{50};
constexpr std::uint64_t kTicksPerAnnouncement = 10;
constexpr duration kWarmUp = std::chrono::seconds(2);

endpoint_announcement Announcement(std::uint32_t slots) {
  endpoint_announcement announced;
  announced.service = kService;
  announced.address = {"127.0.0.1", 9001};
  announced.slots = slots;
  return announced;
}

dispatch_controller::hooks EntryHooks(
    std::function<void(link_id, const entry_message&)> send,
    std::function<void(const task_end&)> on_end,
    std::function<std::uint32_t(const team_id&)> weight) {
  dispatch_controller::hooks hooks;
  hooks.send = std::move(send);
  hooks.on_end = std::move(on_end);
  hooks.team_weight = std::move(weight);
  return hooks;
}

}  // namespace

retry_fleet::entry_node::entry_node(retry_fleet& fleet, std::size_t /*index*/)
    : dispatch(fleet.time_.Clock(), metrics,
               EntryHooks(
                   [&fleet](link_id link, const entry_message& message) {
                     fleet.SendToAgent(link, message);
                   },
                   [this, &fleet](const task_end& end) {
                     fleet.options_.on_end(end);
                     jobs.OnTaskEnd(end);
                   },
                   fleet.options_.team_weight)),
      jobs(dispatch),
      requests(fleet.time_.Clock(), metrics, jobs, [&fleet] {
        return uuid::MakeV7(fleet.time_.Clock().WallNow(), fleet.random_);
      }) {}

retry_fleet::retry_fleet(options chosen)
    : options_(std::move(chosen)), random_(options_.seed + 1) {
  for (std::size_t i = 0; i < options_.system.entries; ++i) {
    entries_.push_back(std::make_unique<entry_node>(*this, i));
  }
  for (std::size_t i = 0; i < options_.system.agents; ++i) AddAgent(i);
}

link_id retry_fleet::Link(std::size_t entry, std::size_t agent) const {
  return link_id(entry * options_.system.agents + agent + 1);
}

void retry_fleet::SendToAgent(link_id link, const entry_message& message) {
  const std::size_t agent = (link.Value() - 1) % options_.system.agents;
  if (std::holds_alternative<start_message>(message)) options_.on_start(agent);
  time_.After(options_.system.one_way, [this, agent, link, message] {
    agents_[agent]->agent->OnMessage(link, message);
  });
}

void retry_fleet::SendToEntry(link_id link, agent_message message) {
  auto* answer = std::get_if<answer_message>(&message);
  if (!options_.health && answer != nullptr &&
      answer->outcome == start_outcome::failed) {
    answer->outcome = start_outcome::done;
    answer->body = kFailedBody;
  }
  const std::size_t entry = (link.Value() - 1) / options_.system.agents;
  time_.After(options_.system.one_way, [this, entry, link, message] {
    entries_[entry]->dispatch.OnMessage(link, message);
  });
}

void retry_fleet::StartRun(std::size_t agent, run_id run,
                           const std::string& body) {
  const fleet_run run_plan = options_.run(agent, body);
  time_.After(run_plan.length, [this, agent, run, run_plan] {
    agents_[agent]->agent->OnStartResult(
        run,
        run_plan.success
            ? agent_controller::start_result{start_outcome::done, 200, ""}
            : agent_controller::start_result{start_outcome::failed, 500, ""});
  });
}

void retry_fleet::AddAgent(std::size_t index) {
  agents_.push_back(std::make_unique<agent_node>());
  agent_node& node = *agents_.back();
  agent_controller::hooks hooks;
  hooks.send = [this](link_id link, const agent_message& message) {
    SendToEntry(link, message);
  };
  hooks.start = [this, index](run_id run, const socket_address& /*address*/,
                              const start_message& start) {
    StartRun(index, run, start.body);
  };
  hooks.control = [](run_id /*run*/, const socket_address& /*address*/,
                     const task_name& /*name*/, task_control /*control*/) {};
  hooks.wake = [this, &node] {
    time_.After(duration(0), [&node] { node.agent->Flush(); });
  };
  hooks.suspend_after = [](const service_id& /*service*/) {
    return std::optional<milliseconds>();
  };
  node.agent = std::make_unique<agent_controller>(
      time_.Clock(), node.metrics,
      agent_controller::identity{agent_id("a" + std::to_string(index)),
                                 incarnation_id(1), data_centre_id("dc")},
      std::move(hooks));
}

void retry_fleet::WarmUp() {
  const auto announced = Announcement(options_.system.slots_per_agent);
  for (std::size_t agent = 0; agent < agents_.size(); ++agent) {
    agents_[agent]->agent->OnAnnouncement(announced);
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
      agents_[agent]->agent->OnEntryConnected(Link(entry, agent));
    }
    TickAgent(agent, 0);
  }
  for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
    TickEntry(entry);
  }
  time_.RunUntil(time_.Now() + kWarmUp);
}

void retry_fleet::TickAgent(std::size_t index, std::uint64_t ticks) {
  agent_controller& agent = *agents_[index]->agent;
  agent.OnAnnouncement(Announcement(options_.system.slots_per_agent));
  agent.Tick();
  if (ticks % kTicksPerAnnouncement == 0) agent.Announce();
  time_.After(kAgentTick,
              [this, index, ticks] { TickAgent(index, ticks + 1); });
}

void retry_fleet::TickEntry(std::size_t index) {
  entries_[index]->dispatch.Tick();
  time_.After(kEntryTick, [this, index] { TickEntry(index); });
}

std::size_t retry_fleet::RandomEntry() {
  return std::uniform_int_distribution<std::size_t>(
      0, entries_.size() - 1)(random_);
}

std::vector<task> retry_fleet::MakeTasks(const std::vector<std::string>& bodies,
                                         const team_id& team,
                                         steady_time deadline) {
  const uuid id = uuid::MakeV7(time_.Clock().WallNow(), random_);
  std::vector<task> tasks(bodies.size());
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    tasks[i].name = {id, static_cast<std::uint32_t>(i)};
    tasks[i].service = kService;
    tasks[i].team = team;
    tasks[i].body = bodies[i];
    tasks[i].deadline = deadline;
  }
  return tasks;
}

bool retry_fleet::Admit(std::size_t entry, const team_id& team,
                        std::size_t tasks, steady_time deadline) {
  dispatch_controller& dispatch = entries_[entry]->dispatch;
  if (CanMeetDeadline(dispatch.ServiceLoad(kService, team), tasks,
                      deadline - time_.Now())) {
    return true;
  }
  dispatch.OnOverload(kService);
  return false;
}

std::size_t retry_fleet::Queued() const {
  std::size_t total = 0;
  for (const auto& entry : entries_) total += entry->dispatch.Queued();
  return total;
}

std::size_t retry_fleet::Ejected(std::size_t entry) const {
  return entries_[entry]->dispatch.Ejected(kService);
}

}  // namespace almond::bench
