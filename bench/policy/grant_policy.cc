#include "bench/policy/grant_policy.h"

#include <array>
#include <memory>
#include <random>
#include <unordered_map>

#include "bench/policy/fake_endpoint.h"
#include "libalmond/controllers/agent/agent_controller.h"
#include "libalmond/controllers/entry/dispatch_controller.h"
#include "libalmond/controllers/entry/service_load.h"

namespace almond::bench {
namespace {

const service_id kService("geurmatch");
const team_id kTeam("geurproef");
std::string TypeName(const agent_message& message) {
  constexpr std::array<const char*, 7> kNames = {
      "announce",     "grant",          "recall",         "answer",
      "query_answer", "config_request", "config_snapshot"};
  return kNames.at(message.index());
}

std::string TypeName(const entry_message& message) {
  constexpr std::array<const char*, 9> kNames = {
      "hello",  "start",  "return",         "demand",         "query",
      "cancel", "forget", "config_request", "config_snapshot"};
  return kNames.at(message.index());
}

constexpr milliseconds kAgentTick{100};
constexpr milliseconds kEntryTick{50};
constexpr milliseconds kAnnouncePeriod{1000};

/// All entries and agents of one run, connected by delayed messages.
class grant_run {
 public:
  grant_run(const grant_options& options, const system_settings& system,
            const workload_settings& workload)
      : options_(options), system_(system), random_(workload.seed + 1) {
    result_.policy = options.suspend_after ? "grants, suspension" : "grants";
    if (!options.admission) result_.policy += ", no admission";
    for (std::uint32_t i = 0; i < system.entries; ++i) AddEntry(i);
    for (std::uint32_t i = 0; i < system.agents; ++i) AddAgent(i);
  }

  run_result Run(const workload_settings& workload) {
    Connect();
    time_.RunUntil(time_.Now() + kWarmUp);
    start_ = time_.Now();
    arrivals_ = MakeArrivals(workload, start_);
    result_.offered = arrivals_.size();
    duration total{0};
    for (const load_phase& phase : workload.phases) total += phase.length;
    result_.goodput.resize(static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(total).count() + 1));
    result_.wait_by_second.resize(result_.goodput.size());
    const std::uint64_t setup_messages = result_.messages;
    for (const arrival& task : arrivals_) {
      time_.After(task.time - start_, [this, &task] { Arrive(task); });
    }
    time_.RunUntil(start_ + total + workload.timeout + kWarmUp);
    result_.messages -= setup_messages;
    result_.late = result_.offered - result_.completed - result_.refused;
    return result_;
  }

 private:
  static constexpr duration kWarmUp = std::chrono::seconds(2);

  struct entry_node {
    metrics_registry metrics;
    std::unique_ptr<dispatch_controller> dispatch;
  };
  struct agent_node {
    metrics_registry metrics;
    std::unique_ptr<fake_endpoint> endpoint;
    std::unique_ptr<agent_controller> agent;
  };

  /// Both ends use the same id for their connection.
  link_id Link(std::size_t entry, std::size_t agent) const {
    return link_id(entry * system_.agents + agent + 1);
  }
  std::size_t EntryOf(link_id link) const {
    return (link.Value() - 1) / system_.agents;
  }
  std::size_t AgentOf(link_id link) const {
    return (link.Value() - 1) % system_.agents;
  }

  void AddEntry(std::uint32_t index) {
    entries_.push_back(std::make_unique<entry_node>());
    entry_node& node = *entries_.back();
    dispatch_controller::hooks hooks;
    hooks.send = [this](link_id link, const entry_message& message) {
      Count(message);
      time_.After(system_.one_way, [this, link, message] {
        agents_[AgentOf(link)]->agent->OnMessage(link, message);
      });
    };
    hooks.on_end = [this](const task_end& end) { OnEnd(end); };
    hooks.team_weight = [](const team_id& /*team*/) { return 1U; };
    hooks.data_centre = data_centre_id("dc" + std::to_string(index));
    node.dispatch = std::make_unique<dispatch_controller>(
        time_.Clock(), node.metrics, std::move(hooks));
  }

  void AddAgent(std::uint32_t index) {
    agents_.push_back(std::make_unique<agent_node>());
    agent_node& node = *agents_.back();
    node.endpoint = std::make_unique<fake_endpoint>(time_);
    agent_controller::hooks hooks;
    hooks.send = [this](link_id link, const agent_message& message) {
      Count(message);
      time_.After(system_.one_way, [this, link, message] {
        entries_[EntryOf(link)]->dispatch->OnMessage(link, message);
      });
    };
    hooks.start = [this, &node](run_id run, const socket_address& /*address*/,
                                const start_message& start) {
      const arrival& task = arrivals_[std::stoull(start.body)];
      node.endpoint->Start(run, task.run_time, [&node, run] {
        node.agent->OnStartResult(run, {start_outcome::done, 200, ""});
      });
    };
    hooks.control = [&node](run_id run, const socket_address& /*address*/,
                            const task_name& /*name*/, task_control control) {
      node.endpoint->Control(run, control, [&node, run, control](bool done) {
        node.agent->OnControlResult(
            run, control,
            done ? task_control_result::done : task_control_result::rejected);
      });
    };
    hooks.wake = [this, &node] {
      time_.After(duration(0), [&node] { node.agent->Flush(); });
    };
    hooks.suspend_after = [this](const service_id& /*service*/) {
      return options_.suspend_after;
    };
    node.agent = std::make_unique<agent_controller>(
        time_.Clock(), node.metrics,
        agent_controller::identity{agent_id("a" + std::to_string(index)),
                                   incarnation_id(1), data_centre_id("dc")},
        std::move(hooks));
  }

  void Connect() {
    for (std::size_t agent = 0; agent < agents_.size(); ++agent) {
      endpoint_announcement announced;
      announced.service = kService;
      announced.address = {"127.0.0.1", 9001};
      announced.slots = system_.slots_per_agent;
      announced.controls.pause = true;
      agents_[agent]->agent->OnAnnouncement(announced);
      for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
        agents_[agent]->agent->OnEntryConnected(Link(entry, agent));
      }
      TickAgent(agent, announced);
      AnnounceAgent(agent);
    }
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
      TickEntry(entry);
    }
  }

  void TickAgent(std::size_t index, const endpoint_announcement& announced) {
    agents_[index]->agent->OnAnnouncement(announced);
    agents_[index]->agent->Tick();
    time_.After(kAgentTick,
                [this, index, announced] { TickAgent(index, announced); });
  }

  void AnnounceAgent(std::size_t index) {
    agents_[index]->agent->Announce();
    time_.After(kAnnouncePeriod, [this, index] { AnnounceAgent(index); });
  }

  void TickEntry(std::size_t index) {
    entries_[index]->dispatch->Tick();
    time_.After(kEntryTick, [this, index] { TickEntry(index); });
  }

  /// Counts a message. Announcements are left out, because their cost depends
  /// on the number of members and not on the tasks.
  template <typename Message>
  void Count(const Message& message) {
    if constexpr (std::is_same_v<Message, agent_message>) {
      if (std::holds_alternative<announce_message>(message)) return;
      if (std::holds_alternative<recall_message>(message)) ++result_.wasted;
      if (const auto* answer = std::get_if<answer_message>(&message)) {
        if (answer->outcome == start_outcome::not_sent) result_.wasted += 2;
      }
    } else {
      if (std::holds_alternative<return_grants_message>(message)) {
        ++result_.wasted;
      }
    }
    ++result_.messages;
    ++result_.by_type[TypeName(message)];
  }

  void Arrive(const arrival& task) {
    const std::size_t index = std::uniform_int_distribution<std::size_t>(
        0, entries_.size() - 1)(random_);
    dispatch_controller& dispatch = *entries_[index]->dispatch;
    const steady_time now = time_.Now();
    if (options_.admission &&
        !CanMeetDeadline(dispatch.ServiceLoad(kService, kTeam), 1,
                         task.deadline - now)) {
      dispatch.OnOverload(kService);
      ++result_.refused;
      result_.refusal_delay.push_back(0);
      return;
    }
    almond::task work;
    work.name = {uuid::MakeV7(time_.Clock().WallNow(), random_), 0};
    work.service = kService;
    work.team = kTeam;
    work.body = std::to_string(task.number);
    work.size.run_time = task.declared;
    work.deadline = task.deadline;
    dispatch.Submit(std::move(work));
  }

  void OnEnd(const task_end& end) {
    const arrival& task = arrivals_[std::stoull(end.work.body)];
    const double response =
        std::chrono::duration<double>(time_.Now() - task.time).count();
    if (const auto* refused = std::get_if<refusal>(&end.result)) {
      if (refused->outcome == run_outcome::not_run) {
        ++result_.refused;
        result_.refusal_delay.push_back(response);
      }
      return;
    }
    ++result_.completed;
    const auto second = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(time_.Now() - start_)
            .count());
    if (second < result_.goodput.size()) ++result_.goodput[second];
    const auto arrived = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(task.time - start_)
            .count());
    result_.wait_by_second[arrived].push_back(
        response - std::chrono::duration<double>(task.run_time).count());
    if (task.is_long) {
      result_.long_response.push_back(response);
    } else {
      result_.short_wait.push_back(
          response - std::chrono::duration<double>(task.run_time).count());
    }
    result_.ratio.push_back(
        response / std::chrono::duration<double>(task.run_time).count());
  }

  grant_options options_;
  system_settings system_;
  std::mt19937_64 random_;
  virtual_time time_;
  steady_time start_;
  std::vector<arrival> arrivals_;
  std::vector<std::unique_ptr<entry_node>> entries_;
  std::vector<std::unique_ptr<agent_node>> agents_;
  run_result result_;
};

}  // namespace

run_result RunGrants(const grant_options& options,
                     const system_settings& system,
                     const workload_settings& workload) {
  return grant_run(options, system, workload).Run(workload);
}

}  // namespace almond::bench
