#ifndef ALMOND_TESTS_ENTRY_FAKE_AGENT_H_
#define ALMOND_TESTS_ENTRY_FAKE_AGENT_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "libalmond/controllers/agent/slot_controller.h"
#include "libalmond/controllers/agent/start_table.h"
#include "libalmond/core/dispatch_messages.h"

namespace almond {

/// Number of starts that reached an endpoint per task, over all agents and
/// incarnations.
using start_record = std::map<task_name, int>;

/// An agent and its endpoint in simulated time: the real start table and slot
/// controller, with an endpoint that can be set to fail or refuse.
class fake_agent {
 public:
  struct endpoint_mode {
    bool fails = false;
    bool refuses = false;
    milliseconds run_time{50};
  };
  using send_hook = std::function<void(link_id, const agent_message&)>;

  fake_agent(const clock_interface& clock, std::string name,
             std::mt19937_64& random, start_record& starts, send_hook send)
      : clock_(clock),
        name_(std::move(name)),
        random_(random),
        starts_(starts),
        send_(std::move(send)) {
    Restart();
  }

  /// Restarts with a new incarnation. All state is lost, including the answers
  /// of running tasks.
  void Restart() {
    incarnation_ = incarnation_.Next();
    table_ = std::make_unique<start_table>(clock_, incarnation_,
                                           start_table::limits{});
    slots_ = std::make_unique<slot_controller>(clock_);
    slots_->SetCapacity(kSlots);
    slots_->SetGranting(true);
    running_.clear();
  }
  void Connect(link_id link) {
    slots_->AddEntry(link);
    Announce(link);
    Allocate();
  }
  void Disconnect(link_id link) { slots_->RemoveEntry(link); }

  void Announce(link_id link) {
    table_->Expire();
    announce_message message;
    message.agent = agent_id(name_);
    message.incarnation = incarnation_;
    message.data_centre = data_centre_id("dc1");
    message.service = service_id("s");
    message.slots = kSlots;
    message.cpu_milli = 4000;
    message.memory_mib = 4096;
    send_(link, message);
  }

  void OnMessage(link_id link, const entry_message& message) {
    if (const auto* start = std::get_if<start_message>(&message)) {
      OnStart(link, *start);
    } else if (const auto* demand = std::get_if<demand_message>(&message)) {
      slots_->SetDemand(link, demand->backlog);
    } else if (const auto* unused =
                   std::get_if<return_grants_message>(&message)) {
      slots_->ReturnGrants(link, unused->grants);
    } else if (const auto* query = std::get_if<query_message>(&message)) {
      OnQuery(link, *query);
    } else if (const auto* forget =
                   std::get_if<acknowledge_message>(&message)) {
      table_->Forget(forget->names);
    }
  }

  /// Ends the tasks that are due and grants free slots.
  void Step() {
    const steady_time now = clock_.SteadyNow();
    for (auto task = running_.begin(); task != running_.end();) {
      if (task->second.end > now) {
        ++task;
        continue;
      }
      answer_message answer = task->second.answer;
      const link_id link = task->second.link;
      task = running_.erase(task);
      table_->End(answer);
      slots_->ReleaseSlot();
      send_(link, answer);
    }
    Allocate();
  }

  static constexpr std::uint32_t kSlots = 4;
  endpoint_mode mode;
  std::size_t Running() const { return running_.size(); }
  std::size_t Names() const { return table_->size(); }
  std::size_t Starts() const { return started_; }
  start_table& Table() { return *table_; }
  incarnation_id Incarnation() const { return incarnation_; }

 private:
  struct running_task {
    link_id link;
    steady_time end;
    answer_message answer;
  };

  void OnStart(link_id link, const start_message& start) {
    slots_->SetDemand(link, start.backlog);
    answer_message refused;
    refused.name = start.name;
    refused.outcome = start_outcome::not_sent;
    if (!slots_->UseGrant(link, start.grant)) {
      send_(link, refused);
      return;
    }
    const auto begun = table_->Begin(start.name, start.epoch);
    if (begun != start_table::begin_outcome::accepted) {
      slots_->ReleaseSlot();
      refused.outcome = start_outcome::fenced;
      if (begun == start_table::begin_outcome::fenced) send_(link, refused);
      return;
    }
    running_task task;
    task.link = link;
    task.answer.name = start.name;
    task.answer.run_time = mode.run_time;
    task.end =
        clock_.SteadyNow() + mode.run_time + milliseconds(random_() % 20);
    if (mode.refuses) {
      task.end = clock_.SteadyNow();
      task.answer.outcome = start_outcome::refused;
    } else {
      ++started_;
      ++starts_[start.name];
      task.answer.outcome =
          mode.fails ? start_outcome::failed : start_outcome::done;
      task.answer.status = mode.fails ? 500 : 200;
      task.answer.body = "result of " + start.body;
    }
    running_[start.name] = task;
  }

  void OnQuery(link_id link, const query_message& query) {
    query_answer_message answer;
    answer.query = query.query;
    answer.agent = agent_id(name_);
    answer.incarnation = incarnation_;
    answer.tasks = table_->AnswerQuery(query);
    for (const task_report& report : answer.tasks) {
      const auto task = running_.find(report.name);
      if (task != running_.end()) task->second.link = link;
    }
    send_(link, answer);
  }

  void Allocate() {
    const auto actions = slots_->Allocate();
    for (const auto& action : actions.grants) {
      send_(action.entry,
            grant_message{action.grants, slot_controller::kLease});
    }
    for (const auto& action : actions.recalls) {
      send_(action.entry, recall_message{action.count});
    }
  }

  const clock_interface& clock_;
  std::string name_;
  std::mt19937_64& random_;
  start_record& starts_;
  send_hook send_;
  incarnation_id incarnation_;
  std::unique_ptr<start_table> table_;
  std::unique_ptr<slot_controller> slots_;
  std::map<task_name, running_task> running_;
  std::size_t started_ = 0;
};

}  // namespace almond

#endif  // ALMOND_TESTS_ENTRY_FAKE_AGENT_H_
