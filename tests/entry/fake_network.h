#ifndef ALMOND_TESTS_ENTRY_FAKE_NETWORK_H_
#define ALMOND_TESTS_ENTRY_FAKE_NETWORK_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "entry/fake_agent.h"
#include "libalmond/controllers/entry/job_controller.h"

namespace almond {

/// An entry's controllers and a number of fake agents, over connections that
/// can delay messages, stall, go silent and break.
class fake_network {
 public:
  static constexpr milliseconds kStep{10};

  explicit fake_network(std::size_t count = 3, std::uint64_t seed = 1)
      : random(seed),
        dispatch(clock, metrics,
                 {[this](link_id link, const entry_message& message) {
                    Post(link, message);
                  },
                  [this](const task_end& end) {
                    if (on_end) on_end(end);
                    jobs.OnTaskEnd(end);
                  },
                  [](const team_id&) { return std::uint32_t{1}; },
                  [this](const team_id&) { return running_limit; },
                  [this](link_id link) { CloseAtAgent(link); },
                  data_centre_id("dc1")}),
        jobs(dispatch) {
    for (std::size_t i = 0; i < count; ++i) {
      agents.push_back(std::make_unique<fake_agent>(
          clock, "a" + std::to_string(i), random, starts,
          [this](link_id link, const agent_message& message) {
            Post(link, message);
          }));
    }
  }

  /// Opens another connection of an agent.
  link_id Open(std::size_t agent) {
    last_link_ = last_link_.Next();
    links_[last_link_].agent = agent;
    agents[agent]->Connect(last_link_);
    return last_link_;
  }
  void OpenAll() {
    for (std::size_t i = 0; i < agents.size(); ++i) Open(i);
    Run(milliseconds(50));
  }
  /// Closes a connection at the entry; messages on the way to the entry are
  /// lost.
  /// @param late_starts messages already sent by the entry still arrive
  void Close(link_id link, bool late_starts = false) {
    const auto found = links_.find(link);
    if (found == links_.end()) return;
    if (late_starts) {
      found->second.draining = true;
    } else {
      Erase(link);
    }
    dispatch.OnAgentClosed(link);
  }
  /// Adds `time` to the delay of messages from the entry on this connection.
  void Stall(link_id link, duration time) { links_.at(link).stall = time; }
  /// Makes the connection drop all messages while it stays open.
  void Silence(link_id link) { links_.at(link).silent = true; }
  void Restart(std::size_t agent) {
    for (auto& [id, link] : links_) {
      if (link.agent != agent) continue;
      link.closed_at_agent = true;
      link.silent = true;
    }
    agents[agent]->Restart();
  }
  std::vector<link_id> LinksOf(std::size_t agent) const {
    std::vector<link_id> result;
    for (const auto& [id, link] : links_) {
      if (link.agent == agent && !link.draining) result.push_back(id);
    }
    return result;
  }

  void Run(duration time) {
    const steady_time end = clock.SteadyNow() + time;
    while (clock.SteadyNow() < end) Step();
  }
  void Step() {
    clock.Advance(kStep);
    Deliver();
    for (const auto& agent : agents) agent->Step();
    ++steps_;
    if (steps_ % 5 == 0) dispatch.Tick();
    if (steps_ % 100 != 0) return;
    for (auto& [id, link] : links_) {
      if (!link.closed_at_agent) agents[link.agent]->Announce(id);
    }
  }

  /// Makes the tasks of one submission, each with a unique body.
  std::vector<task> MakeTasks(std::size_t count, milliseconds timeout) {
    const uuid id = uuid::MakeV7(clock.WallNow(), random);
    std::vector<task> tasks(count);
    for (std::size_t i = 0; i < count; ++i) {
      tasks[i].name = {id, static_cast<std::uint32_t>(i)};
      tasks[i].service = service_id("s");
      tasks[i].team = team_id("t");
      tasks[i].body = ToString(tasks[i].name);
      tasks[i].deadline = clock.SteadyNow() + timeout;
    }
    return tasks;
  }

  manual_clock clock;
  std::mt19937_64 random;
  metrics_registry metrics;
  start_record starts;
  std::vector<std::unique_ptr<fake_agent>> agents;
  dispatch_controller dispatch;
  job_controller jobs;
  std::function<void(const task_end&)> on_end;
  std::function<duration()> delay = [] { return duration(0); };
  std::uint32_t running_limit = 1000;
  /// Messages sent by the entry, in sending order.
  std::vector<entry_message> sent;

 private:
  template <typename Message>
  using channel = std::deque<std::pair<steady_time, Message>>;
  struct connection {
    std::size_t agent = 0;
    bool silent = false;
    bool closed_at_agent = false;
    /// Closed by the entry; messages it sent before still arrive.
    bool draining = false;
    duration stall{0};  ///< added to the delay of messages to the agent
    channel<entry_message> to_agent;
    channel<agent_message> to_entry;
  };

  template <typename Message>
  void Enqueue(channel<Message>& queue, const Message& message,
               duration stall) {
    steady_time due = clock.SteadyNow() + delay() + stall;
    // A connection delivers its messages in order.
    if (!queue.empty()) due = std::max(due, queue.back().first);
    queue.emplace_back(due, message);
  }
  void Post(link_id link, const entry_message& message) {
    sent.push_back(message);
    const auto found = links_.find(link);
    if (found == links_.end() || found->second.silent ||
        found->second.draining) {
      return;
    }
    Enqueue(found->second.to_agent, message, found->second.stall);
  }
  void Post(link_id link, const agent_message& message) {
    const auto found = links_.find(link);
    if (found == links_.end() || found->second.silent ||
        found->second.draining) {
      return;
    }
    Enqueue(found->second.to_entry, message, duration(0));
  }
  void CloseAtAgent(link_id link) {
    const auto found = links_.find(link);
    if (found != links_.end()) found->second.draining = true;
  }
  void Erase(link_id link) {
    const connection& ended = links_.at(link);
    const std::size_t agent = ended.agent;
    const bool known_to_agent = !ended.closed_at_agent;
    links_.erase(link);
    if (known_to_agent) agents[agent]->Disconnect(link);
  }
  template <typename Message, typename Receive>
  void DeliverOne(link_id link, channel<Message> connection::*queue,
                  const Receive& receive) {
    while (true) {
      const auto found = links_.find(link);
      if (found == links_.end() || found->second.silent) return;
      auto& messages = found->second.*queue;
      if (messages.empty() || messages.front().first > clock.SteadyNow()) {
        return;
      }
      const Message message = std::move(messages.front().second);
      messages.pop_front();
      receive(found->second.agent, message);
    }
  }
  void Deliver() {
    std::vector<link_id> ids;
    for (const auto& [id, link] : links_) ids.push_back(id);
    for (const link_id id : ids) {
      DeliverOne(id, &connection::to_agent,
                 [&](std::size_t agent, const entry_message& message) {
                   agents[agent]->OnMessage(id, message);
                 });
      const auto found = links_.find(id);
      if (found == links_.end()) continue;
      if (found->second.draining) {
        if (found->second.to_agent.empty() || found->second.silent) Erase(id);
        continue;
      }
      DeliverOne(id, &connection::to_entry,
                 [&](std::size_t, const agent_message& message) {
                   dispatch.OnMessage(id, message);
                 });
    }
  }

  std::map<link_id, connection> links_;
  link_id last_link_;
  std::uint64_t steps_ = 0;
};

}  // namespace almond

#endif  // ALMOND_TESTS_ENTRY_FAKE_NETWORK_H_
