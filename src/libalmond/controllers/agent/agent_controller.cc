#include "libalmond/controllers/agent/agent_controller.h"

#include <algorithm>
#include <utility>

#include "libalmond/controllers/agent/agent_gauges.h"
#include "libalmond/controllers/agent/query_answers.h"

namespace almond {
namespace {

std::string Label(const char* key, std::string_view value) {
  return std::string(key) + "=\"" + std::string(value) + "\"";
}

}  // namespace

agent_controller::agent_controller(const clock_interface& clock,
                                   metrics_registry& metrics, identity self,
                                   hooks callbacks, start_table::limits bounds,
                                   suspension_policy policy)
    : clock_(clock),
      metrics_(metrics),
      self_(std::move(self)),
      hooks_(std::move(callbacks)),
      starts_(clock, self_.incarnation, bounds),
      slots_(clock),
      suspension_(
          clock, slots_,
          [&] {
            policy.suspend_after = [this] {
              return hooks_.suspend_after(endpoint_.LastAnnouncement().service);
            };
            return std::move(policy);
          }()),
      endpoint_(clock) {
  for (const char* reason : {"grant-expired", "no-endpoint", "table-full",
                             "no-resources", "exceeds-endpoint", "long-kinds",
                             "deadline", "fenced", "known", "evacuated"}) {
    metrics_.Counter("almond_agent_refusals_total", Label("reason", reason));
  }
}

void agent_controller::ScheduleFlush() {
  if (std::exchange(flush_scheduled_, true)) return;
  hooks_.wake();
}

void agent_controller::OnEntryConnected(link_id link) {
  links_.insert(link);
  slots_.AddEntry(link);
  // Grants do not name their service: an entry takes it from the announcement
  // that it received before them.
  hooks_.send(link, Announcement());
  ScheduleFlush();
}

void agent_controller::OnEntryClosed(link_id link) {
  links_.erase(link);
  slots_.RemoveEntry(link);
  ScheduleFlush();
}

void agent_controller::OnMessage(link_id link, const entry_message& message) {
  if (links_.count(link) == 0) return;
  if (const auto* start = std::get_if<start_message>(&message)) {
    OnStart(link, *start);
  } else if (const auto* demand = std::get_if<demand_message>(&message)) {
    slots_.SetDemand(link, demand->backlog);
    slots_.SetOverloaded(link, demand->overloaded);
  } else if (const auto* unused =
                 std::get_if<return_grants_message>(&message)) {
    slots_.ReturnGrants(link, unused->grants);
  } else if (const auto* query = std::get_if<query_message>(&message)) {
    OnQuery(link, *query);
  } else if (const auto* forget = std::get_if<acknowledge_message>(&message)) {
    starts_.Forget(forget->names);
  } else if (const auto* cancel = std::get_if<cancel_message>(&message)) {
    OnCancel(*cancel);
  }
  ScheduleFlush();
}

void agent_controller::OnStart(link_id link, const start_message& start) {
  metrics_.Counter("almond_starts_received_total").Add();
  slots_.SetDemand(link, start.backlog);
  // Check the name before the grant: a duplicate start finds its grant used,
  // and must not be answered with "not started".
  if (HandleKnownStart(link, start)) {
    slots_.ReturnGrants(link, {start.grant});
    return;
  }
  const std::string reason = RefusalReason(start);
  if (!reason.empty()) {
    slots_.ReturnGrants(link, {start.grant});
    if (reason == "no-resources" || reason == "exceeds-endpoint" ||
        reason == "long-kinds") {
      slots_.BackOff(link, clock_.SteadyNow() + kGrantBackoff);
    }
    Refuse(link, start, start_outcome::not_sent, reason);
    return;
  }
  if (!slots_.UseGrant(link, start.grant)) {
    Refuse(link, start, start_outcome::not_sent, "grant-expired");
    return;
  }
  starts_.Begin(start.name, start.epoch);
  last_run_ = last_run_.Next();
  const endpoint_announcement& endpoint = endpoint_.LastAnnouncement();
  const steady_time now = clock_.SteadyNow();
  runs_[last_run_] = {start.name,
                      link,
                      endpoint.address,
                      endpoint.controls.stop,
                      false,
                      now,
                      now + std::min(start.time_left, kMaxTimeLeft)};
  runs_by_name_[start.name] = last_run_;
  suspension_.Add(last_run_, start.kind, start.size);
  metrics_.Counter("almond_starts_total").Add();
  hooks_.start(last_run_, endpoint.address, start);
}

bool agent_controller::HandleKnownStart(link_id link,
                                        const start_message& start) {
  const auto outcome = starts_.Check(start.name, start.epoch);
  if (outcome == start_table::begin_outcome::fenced) {
    Refuse(link, start, start_outcome::fenced, "fenced");
    return true;
  }
  if (outcome != start_table::begin_outcome::known) return false;
  metrics_.Counter("almond_agent_refusals_total", Label("reason", "known"))
      .Add();
  const task_report report = starts_.Report(start.name, false);
  if (report.state == task_state::running) {
    // Do not redirect the answer from the new owner to a superseded one.
    if (!starts_.Superseded(start.name.submission, start.epoch)) {
      RedirectAnswer(start.name, link, true);
    }
  } else if (report.state == task_state::ended) {
    answers_.emplace_back(link, report.answer);
  } else {
    answer_message lost;
    lost.name = start.name;
    answers_.emplace_back(link, lost);
  }
  return true;
}

std::string agent_controller::RefusalReason(const start_message& start) const {
  if (evacuated_) return "evacuated";
  if (!endpoint_.Present()) return "no-endpoint";
  if (start.time_left <= milliseconds(0)) return "deadline";
  if (starts_.Check(start.name, start.epoch) ==
      start_table::begin_outcome::full) {
    return "table-full";
  }
  if (!suspension_.FitsEmptyEndpoint(start.size)) return "exceeds-endpoint";
  if (!suspension_.Fits(start.size)) return "no-resources";
  if (suspension_.LongKindCapReached(start.kind)) return "long-kinds";
  return {};
}

void agent_controller::Refuse(link_id link, const start_message& start,
                              start_outcome outcome,
                              const std::string& reason) {
  metrics_.Counter("almond_agent_refusals_total", Label("reason", reason))
      .Add();
  answer_message answer;
  answer.name = start.name;
  answer.outcome = outcome;
  answers_.emplace_back(link, std::move(answer));
}

void agent_controller::OnStartResult(run_id run, start_result end) {
  const auto position = runs_.find(run);
  if (position == runs_.end()) return;
  const run_record ended = position->second;
  runs_.erase(position);
  runs_by_name_.erase(ended.name);
  last_end_ = clock_.SteadyNow();
  answer_message answer;
  answer.name = ended.name;
  answer.outcome = end.outcome;
  answer.status = end.status;
  answer.body = std::move(end.body);
  answer.run_time = suspension_.Remove(run).value_or(
      std::chrono::duration_cast<milliseconds>(last_end_ - ended.started));
  if (answer.body.size() > kMaxAnswerBytes) {
    // A frame over the size limit closes the connection, and would do so again
    // after each query.
    metrics_.Counter("almond_agent_answers_too_large_total").Add();
    answer.body.clear();
    answer.outcome = start_outcome::failed;
    answer.status = kStatusTooLarge;
  }
  const bool refused = end.outcome == start_outcome::not_sent;
  starts_.End(answer);
  answers_.emplace_back(ended.link, std::move(answer));
  if (refused && endpoint_.MarkUnreachable(ended.address)) {
    metrics_.Counter("almond_agent_endpoint_unreachable_total").Add();
    ApplyEndpointState();
  }
  ScheduleFlush();
}

void agent_controller::OnControlResult(run_id run, task_control control,
                                       task_control_result result) {
  const char* name = result == task_control_result::done       ? "done"
                     : result == task_control_result::rejected ? "rejected"
                                                               : "failed";
  metrics_
      .Counter("almond_agent_controls_total",
               Label("control", Name(control)) + "," + Label("result", name))
      .Add();
  suspension_.OnControlResult(run, control, result);
  ScheduleFlush();
}

void agent_controller::OnQuery(link_id link, const query_message& query) {
  // Send pending answers first: after the report the entry may start the task
  // again elsewhere, and would take an older answer for that of the new start.
  Flush();
  std::vector<task_report> reports = starts_.AnswerQuery(query);
  const bool superseded =
      query.submission && starts_.Superseded(*query.submission, query.epoch);
  for (const task_report& report : reports) {
    if (report.state != task_state::running || superseded) continue;
    RedirectAnswer(report.name, link, query.fence);
  }
  query_answer_message head;
  head.query = query.query;
  head.agent = self_.agent;
  head.incarnation = self_.incarnation;
  for (const auto& answer : SplitReports(head, std::move(reports))) {
    hooks_.send(link, answer);
  }
}

void agent_controller::RedirectAnswer(const task_name& name, link_id link,
                                      bool fence) {
  const auto found = runs_by_name_.find(name);
  if (found == runs_by_name_.end()) return;
  run_record& run = runs_.at(found->second);
  // A read-only query does not redirect the answer while its owner is
  // connected.
  if (fence || links_.count(run.link) == 0) run.link = link;
}

void agent_controller::OnCancel(const cancel_message& cancel) {
  for (const task_name& name : cancel.names) {
    const auto found = runs_by_name_.find(name);
    if (found != runs_by_name_.end()) {
      Stop(found->second, runs_.at(found->second));
    }
  }
}

void agent_controller::Stop(run_id run, run_record& record) {
  if (!record.can_stop || std::exchange(record.stopped, true)) return;
  metrics_.Counter("almond_agent_stops_total").Add();
  hooks_.control(run, record.address, record.name, task_control::stop);
}

void agent_controller::CheckDeadlines() {
  const steady_time now = clock_.SteadyNow();
  std::vector<run_id> unreachable;
  for (auto& [run, record] : runs_) {
    if (now < record.deadline + kStopGrace) continue;
    const bool current = endpoint_.Present() &&
                         endpoint_.LastAnnouncement().address == record.address;
    if (current) {
      Stop(run, record);
    } else {
      unreachable.push_back(run);
    }
  }
  // An endpoint that is gone or replaced may never answer the call. The task
  // may have run or may still be running, so its outcome is lost.
  for (const run_id run : unreachable) OnStartResult(run, {});
}

endpoint_controller::change agent_controller::OnAnnouncement(
    const endpoint_announcement& announced) {
  using change = endpoint_controller::change;
  const change changed = endpoint_.OnAnnouncement(announced);
  if (changed == change::none || changed == change::held) return changed;
  if (changed == change::replaced) {
    // Calls to the previous endpoint continue, but hold no slots of the new
    // one.
    slots_.Reset();
    suspension_.Reset();
  } else if (changed == change::service) {
    // Starts do not name their service, so grants for the previous service must
    // become invalid.
    slots_.Revoke();
  }
  ApplyEndpointState();
  return changed;
}

bool agent_controller::OnEndpointLeaving() {
  const bool first = !endpoint_.Leaving();
  if (!endpoint_.OnLeaving()) return false;
  if (first) ApplyEndpointState();
  return true;
}

void agent_controller::Leave() {
  if (leaving_) return;
  leaving_ = true;
  leave_time_ = clock_.SteadyNow();
  ApplyEndpointState();
}

void agent_controller::SetEvacuated(bool evacuated) {
  if (std::exchange(evacuated_, evacuated) == evacuated) return;
  if (evacuated) slots_.Revoke();
  ApplyEndpointState();
}

void agent_controller::ApplyEndpointState() {
  if (endpoint_.Present()) {
    const endpoint_announcement& last = endpoint_.LastAnnouncement();
    slots_.SetCapacity(last.slots);
    suspension_.SetEndpoint(last.controls, last.cpu_milli, last.memory_mib);
  }
  slots_.SetGranting(endpoint_.Present() && !endpoint_.Leaving() && !leaving_ &&
                     !evacuated_);
  Announce();
  ScheduleFlush();
}

announce_message agent_controller::Announcement() const {
  announce_message message;
  message.agent = self_.agent;
  message.incarnation = self_.incarnation;
  message.data_centre = self_.data_centre;
  message.leaving = leaving_ || evacuated_ || endpoint_.Leaving();
  message.version = hooks_.version();
  if (!endpoint_.Present()) return message;
  const endpoint_announcement& last = endpoint_.LastAnnouncement();
  message.service = last.service;
  message.slots = last.slots;
  message.cpu_milli = last.cpu_milli;
  message.memory_mib = last.memory_mib;
  message.controls = last.controls;
  return message;
}

void agent_controller::Announce() {
  const announce_message message = Announcement();
  if (!message.leaving) slots_.RenewLeases();
  // Copied, since a failed send may close its connection and change links_.
  const std::set<link_id> links = links_;
  for (const link_id link : links) hooks_.send(link, message);
}

void agent_controller::Tick() {
  if (endpoint_.Expire()) ApplyEndpointState();
  CheckDeadlines();
  starts_.Expire();
  ScheduleFlush();
}

void agent_controller::Flush() {
  flush_scheduled_ = false;
  slots_.ExpireLeases();
  if (endpoint_.Present()) {
    for (const auto& action : suspension_.Decide()) {
      const run_record& run = runs_.at(action.run);
      hooks_.control(action.run, run.address, run.name, action.control);
    }
  }
  const bool full = suspension_.ResourcesExhausted();
  std::vector<link_id> answered;
  answered.reserve(answers_.size());
  for (const auto& [link, answer] : answers_) answered.push_back(link);
  slot_controller::actions actions = slots_.Allocate(
      answered, full ? 0 : UINT32_MAX, suspension_.WantedSlots());
  SendAnswers(actions);
  for (auto& action : actions.grants) {
    if (action.grants.empty()) continue;
    hooks_.send(action.entry, grant_message{std::move(action.grants),
                                            slot_controller::kLease});
  }
  for (const auto& action : actions.recalls) {
    hooks_.send(action.entry, recall_message{action.count});
  }
  SetAgentGauges(metrics_, slots_, suspension_, starts_);
}

void agent_controller::SendAnswers(slot_controller::actions& actions) {
  std::map<link_id, std::vector<grant_id>*> grants;
  for (auto& action : actions.grants) grants[action.entry] = &action.grants;
  for (auto& [link, answer] : std::exchange(answers_, {})) {
    // The task may have been started after the answer was created; the entry
    // would take an outdated "not run" for the answer to that start.
    const bool not_run = answer.outcome == start_outcome::not_sent ||
                         answer.outcome == start_outcome::refused ||
                         answer.outcome == start_outcome::fenced;
    if (not_run && runs_by_name_.count(answer.name) > 0) continue;
    const auto issued = grants.find(link);
    if (issued != grants.end() && !issued->second->empty()) {
      answer.next_grant = issued->second->back();
      issued->second->pop_back();
    }
    hooks_.send(link, answer);
  }
}

bool agent_controller::Drained() const {
  const steady_time now = clock_.SteadyNow();
  return leaving_ && runs_.empty() &&
         now - leave_time_ >= slot_controller::kLease &&
         now - last_end_ >= kFlushTime;
}

}  // namespace almond
