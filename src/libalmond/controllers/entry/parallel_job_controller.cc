#include "libalmond/controllers/entry/parallel_job_controller.h"

#include <algorithm>
#include <utility>

namespace almond {
namespace {

std::int64_t Milliseconds(duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

std::int64_t CoreMs(const job_step& plan) {
  return plan.needed.cpu_milli * plan.estimate.count() / 1000;
}

const char* OutcomeName(job_outcome outcome) {
  switch (outcome) {
    case job_outcome::complete:
      return "complete";
    case job_outcome::failed:
      return "failed";
    case job_outcome::overloaded:
      return "overloaded";
    case job_outcome::unavailable:
      return "unavailable";
    case job_outcome::timed_out:
      return "timed-out";
    case job_outcome::interrupted:
      return "interrupted";
  }
  return "";
}

}  // namespace

parallel_job_controller::parallel_job_controller(const clock_interface& clock,
                                                 decision_log& log,
                                                 metrics_registry& metrics,
                                                 endpoint_pool& endpoints,
                                                 hooks callbacks)
    : clock_(clock),
      log_(log),
      metrics_(metrics),
      endpoints_(endpoints),
      hooks_(std::move(callbacks)),
      started_(clock.SteadyNow()),
      admission_(clock),
      complete_(metrics.Counter("almond_jobs_total", "outcome=\"complete\"")),
      failed_(metrics.Counter("almond_jobs_total", "outcome=\"failed\"")),
      refused_(metrics.Counter("almond_jobs_total", "outcome=\"refused\"")),
      timed_out_(metrics.Counter("almond_jobs_total", "outcome=\"timed-out\"")),
      left_(metrics.Counter("almond_jobs_total", "outcome=\"caller-left\"")),
      placed_(metrics.Counter("almond_runs_placed_total")),
      again_(metrics.Counter("almond_runs_again_total")),
      job_seconds_(metrics.Summary("almond_job_seconds")),
      wait_seconds_(metrics.Summary("almond_job_wait_seconds")) {}

caller_id parallel_job_controller::Submit(const route& rule,
                                          const job_request& request,
                                          answer_hook on_answer) {
  last_caller_ = last_caller_.Next();
  const caller_id caller = last_caller_;
  if (job* known = Find(request.id)) {
    known->callers[caller] = std::move(on_answer);
    known->deadline =
        std::max(known->deadline, clock_.SteadyNow() + request.timeout);
    log_.Write("job_joined", {{"job", request.id.Value()}});
    return caller;
  }
  Admit(rule, request, caller, std::move(on_answer));
  return caller;
}

void parallel_job_controller::Admit(const route& rule,
                                    const job_request& request,
                                    caller_id caller, answer_hook on_answer) {
  const steady_time now = clock_.SteadyNow();
  const milliseconds chain = LongestChain(request.steps);
  if (const auto refused = Refusal(rule, request, chain)) {
    refused_.Add();
    metrics_.Refusals(refused->reason).Add();
    log_.Write("job_refused",
               {{"job", request.id.Value()},
                {"route", rule.name},
                {"reason", Name(refused->reason)},
                {"timeout_ms", request.timeout.count()},
                {"chain_ms", chain.count()},
                {"queued_core_ms", queued_core_ms_[rule.service]},
                {"unused_cpu_milli", endpoints_.UnusedCpu(rule.service)}});
    on_answer(*refused);
    return;
  }
  auto entry = std::make_unique<job>();
  entry->request = request;
  entry->service = rule.service;
  entry->route_name = rule.name;
  entry->priority = rule.priority;
  entry->max_attempts = std::max<std::uint32_t>(1, rule.max_attempts);
  entry->arrived = now;
  entry->deadline = now + request.timeout;
  entry->callers[caller] = std::move(on_answer);
  const auto objective = std::chrono::duration_cast<duration>(
      chain * rule.stretch +
      std::chrono::duration<double, std::milli>(rule.slack));
  entry->patience_end =
      now + std::chrono::duration_cast<duration>(objective * kPatience);
  for (const job_step& plan : request.steps) {
    step& added = entry->steps.emplace_back();
    added.plan = plan;
    added.tasks.resize(plan.count);
    added.open = plan.count;
    added.latest_start =
        now + objective -
        std::chrono::duration_cast<duration>(plan.estimate * kEstimateMargin);
  }
  entry->open_steps = static_cast<std::uint32_t>(entry->steps.size());
  log_.Write("job_accepted", {{"job", request.id.Value()},
                              {"route", rule.name},
                              {"tasks", request.steps.front().count},
                              {"steps", request.steps.size()},
                              {"estimate_ms", chain.count()},
                              {"timeout_ms", request.timeout.count()},
                              {"queued", queue_.size()}});
  job& added = *(jobs_[request.id] = std::move(entry));
  ReleaseSteps(added);
  Dispatch();
}

std::optional<job_answer> parallel_job_controller::Refusal(
    const route& rule, const job_request& request, milliseconds chain) {
  const bool learning = clock_.SteadyNow() - started_ < kLearningPeriod;
  if (!endpoints_.Serves(rule.service) && learning) return std::nullopt;
  if (!endpoints_.Serves(rule.service)) {
    return job_answer{job_outcome::unavailable, refusal_reason::no_endpoint,
                      kRetryAfterUnknown};
  }
  for (const job_step& plan : request.steps) {
    if (!endpoints_.CouldHold(rule.service, plan.needed)) {
      return job_answer{job_outcome::unavailable,
                        refusal_reason::exceeds_capacity, std::nullopt};
    }
  }
  return admission_.Check(request, chain, Backlog(rule.service));
}

void parallel_job_controller::RemoveCaller(const job_id& id, caller_id caller) {
  job* entry = Find(id);
  if (entry == nullptr || entry->callers.erase(caller) == 0) return;
  if (!entry->callers.empty()) return;
  left_.Add();
  log_.Write("caller_left",
             {{"job", id.Value()},
              {"age_ms", Milliseconds(clock_.SteadyNow() - entry->arrived)},
              {"begun", entry->possible_runs > 0}});
  End(id, {job_outcome::interrupted, refusal_reason::cancelled, std::nullopt});
}

void parallel_job_controller::OnEndpointState(link_id link,
                                              const endpoint_state& state) {
  endpoints_.Update(link, state);
  Dispatch();
  WithdrawWaiting();
}

void parallel_job_controller::OnRunEnd(link_id link, const run_end& end) {
  const endpoint_key place{link, end.endpoint};
  endpoints_.Ended(place, end);
  job* entry = Find(end.key.job);
  if (entry == nullptr || end.key.step >= entry->steps.size()) return;
  step& part = entry->steps[end.key.step];
  if (end.key.index >= part.tasks.size()) return;
  const task& ended = part.tasks[end.key.index];
  // An end of an earlier run, or of another try of this job.
  if (ended.phase != task_phase::placed || ended.run != end.key.run ||
      ended.place != place) {
    return;
  }
  switch (end.kind) {
    case run_end_kind::done:
      TaskDone(*entry, end.key);
      break;
    case run_end_kind::failed:
      TaskFailed(*entry, end.key, end.endpoint);
      break;
    case run_end_kind::superseded:
      --entry->possible_runs;
      part.tasks[end.key.index].run += kRunStep;
      Again(*entry, end.key);
      break;
    case run_end_kind::stopped:
      // By the agent, since the run stood still or its start got no answer.
      part.tasks[end.key.index].failed_at.push_back(end.endpoint);
      endpoints_.CountFault(place);
      LogRun("run_again", place, end.key,
             {{"kind", static_cast<int>(end.kind)}});
      Again(*entry, end.key);
      break;
    case run_end_kind::not_run:
      --entry->possible_runs;
      [[fallthrough]];
    case run_end_kind::lost:
      LogRun("run_again", place, end.key,
             {{"kind", static_cast<int>(end.kind)}});
      Again(*entry, end.key);
      break;
  }
  Dispatch();
}

void parallel_job_controller::OnLinkClosed(link_id link) {
  endpoints_.RemoveLink(link);
  const steady_time end = clock_.SteadyNow() + kDoubtPeriod;
  for (auto& [id, entry] : jobs_) {
    for (step& part : entry->steps) {
      for (task& lost : part.tasks) {
        if (lost.phase != task_phase::placed || lost.place.link != link) {
          continue;
        }
        lost.phase = task_phase::doubtful;
        lost.doubt_end = end;
        log_.Write("run_in_doubt", {{"job", id.Value()},
                                    {"run", lost.run},
                                    {"endpoint", lost.place.endpoint.Value()},
                                    {"doubt_ms", kDoubtPeriod.count()}});
      }
    }
  }
}

void parallel_job_controller::Tick() {
  const steady_time now = clock_.SteadyNow();
  std::vector<job_id> late;
  for (auto& [id, entry] : jobs_) {
    if (entry->deadline <= now) {
      late.push_back(id);
      continue;
    }
    if (GivesUp(*entry, now)) {
      late.push_back(id);
      continue;
    }
    for (std::uint32_t s = 0; s < entry->steps.size(); ++s) {
      step& part = entry->steps[s];
      for (std::uint32_t i = 0; i < part.tasks.size(); ++i) {
        if (part.tasks[i].phase == task_phase::doubtful &&
            part.tasks[i].doubt_end <= now) {
          Enqueue(*entry, s, i);
        }
      }
    }
  }
  for (const job_id& id : late) {
    const bool ran = jobs_.at(id)->possible_runs > 0;
    (ran ? timed_out_ : refused_).Add();
    End(id, TimeoutAnswer(*jobs_.at(id)));
  }
  Dispatch();
}

bool parallel_job_controller::GivesUp(job& entry, steady_time now) {
  if (entry.working) return false;
  const bool too_late =
      now + entry.steps.front().plan.estimate > entry.deadline;
  if (!too_late && now < entry.patience_end) return false;
  entry.giving_up = true;
  if (entry.possible_runs == 0) return true;
  for (std::uint32_t s = 0; s < entry.steps.size(); ++s) {
    for (std::uint32_t i = 0; i < entry.steps[s].tasks.size(); ++i) {
      const task& ordered = entry.steps[s].tasks[i];
      if (ordered.phase == task_phase::placed && ordered.waits &&
          !ordered.withdrawn) {
        Withdraw(entry, s, i);
      }
    }
  }
  return false;
}

void parallel_job_controller::Withdraw(job& entry, std::uint32_t step_number,
                                       std::uint32_t index) {
  task& ordered = entry.steps[step_number].tasks[index];
  ordered.withdrawn = true;
  hooks_.send(
      ordered.place.link,
      run_withdraw{ordered.place.endpoint,
                   {entry.request.id, 0, step_number, index, ordered.run}});
}

void parallel_job_controller::InterruptAll() {
  while (!jobs_.empty()) {
    const job& entry = *jobs_.begin()->second;
    const job_answer answer =
        entry.possible_runs > 0
            ? job_answer{job_outcome::interrupted, refusal_reason::draining,
                         std::nullopt}
            : job_answer{job_outcome::unavailable, refusal_reason::draining,
                         milliseconds(0)};
    End(job_id(entry.request.id), answer);
  }
}

void parallel_job_controller::ReleaseSteps(job& entry) {
  for (std::uint32_t s = 0; s < entry.steps.size(); ++s) {
    step& part = entry.steps[s];
    const bool ready = std::all_of(part.plan.dependencies.begin(),
                                   part.plan.dependencies.end(),
                                   [&entry](std::uint32_t earlier) {
                                     return entry.steps[earlier].open == 0;
                                   });
    if (!ready) continue;
    for (std::uint32_t i = 0; i < part.tasks.size(); ++i) {
      if (part.tasks[i].phase == task_phase::blocked) Enqueue(entry, s, i);
    }
  }
}

void parallel_job_controller::Enqueue(job& entry, std::uint32_t step_number,
                                      std::uint32_t index) {
  step& part = entry.steps[step_number];
  part.tasks[index].phase = task_phase::waiting;
  queue_.Add({entry.request.id, step_number, index}, Urgency(entry, part));
  queued_core_ms_[entry.service] += CoreMs(part.plan);
}

run_urgency parallel_job_controller::Urgency(const job& entry,
                                             const step& part) {
  return {part.latest_start, entry.priority, entry.working};
}

void parallel_job_controller::Dequeue(job& entry) {
  for (std::uint32_t s = 0; s < entry.steps.size(); ++s) {
    step& part = entry.steps[s];
    for (std::uint32_t i = 0; i < part.tasks.size(); ++i) {
      if (part.tasks[i].phase != task_phase::waiting) continue;
      queue_.Remove({entry.request.id, s, i}, Urgency(entry, part));
      queued_core_ms_[entry.service] -= CoreMs(part.plan);
    }
  }
}

void parallel_job_controller::MarkWorking(job& entry) {
  if (entry.working) return;
  entry.giving_up = false;
  wait_seconds_.Add(clock_.SteadyNow() - entry.arrived);
  Dequeue(entry);
  entry.working = true;
  for (std::uint32_t s = 0; s < entry.steps.size(); ++s) {
    for (std::uint32_t i = 0; i < entry.steps[s].tasks.size(); ++i) {
      if (entry.steps[s].tasks[i].phase == task_phase::waiting) {
        Enqueue(entry, s, i);
      }
    }
  }
}

void parallel_job_controller::Dispatch() {
  // Ends that an order causes at once must not change the queue within Offer.
  if (dispatching_ || queue_.size() == 0) return;
  dispatching_ = true;
  std::vector<job_id> begun;
  std::map<service_id, std::int64_t> too_large;
  queue_.Offer(clock_.SteadyNow(), [&](const waiting_task& waiting) {
    if (!TryPlace(waiting, too_large)) return false;
    const job& placed = *Find(waiting.job);
    const bool waits = placed.steps[waiting.step].tasks[waiting.index].waits;
    if (!placed.working && !waits) begun.push_back(waiting.job);
    return true;
  });
  for (const job_id& id : begun) MarkWorking(*Find(id));
  dispatching_ = false;
}

void parallel_job_controller::WithdrawWaiting() {
  // Room that is left after all queued tasks were offered it.
  std::map<service_id, std::int64_t> too_large;
  for (auto position = ordered_to_wait_.begin();
       position != ordered_to_wait_.end();) {
    const waiting_task waiting = *position;
    job* entry = Find(waiting.job);
    task* waits = entry == nullptr
                      ? nullptr
                      : &entry->steps[waiting.step].tasks[waiting.index];
    if (waits == nullptr || waits->phase != task_phase::placed ||
        !waits->waits || waits->withdrawn) {
      position = ordered_to_wait_.erase(position);
      continue;
    }
    ++position;
    const job_step& plan = entry->steps[waiting.step].plan;
    const auto limit = too_large.find(entry->service);
    if (limit != too_large.end() && plan.needed.cpu_milli >= limit->second) {
      continue;
    }
    const auto better =
        endpoints_.Choose({entry->service, plan.needed, plan.estimate,
                           entry->priority, waits->failed_at});
    // One at a time for a service, as each would choose the same room.
    too_large[entry->service] = better ? 0 : plan.needed.cpu_milli;
    if (!better) continue;
    Withdraw(*entry, waiting.step, waiting.index);
  }
}

bool parallel_job_controller::TryPlace(
    const waiting_task& waiting,
    std::map<service_id, std::int64_t>& too_large) {
  job& entry = *Find(waiting.job);
  step& part = entry.steps[waiting.step];
  if (entry.giving_up) return false;
  const auto limit = too_large.find(entry.service);
  if (limit != too_large.end() && part.plan.needed.cpu_milli >= limit->second) {
    return false;
  }
  task& placed = part.tasks[waiting.index];
  const placement_request request{entry.service, part.plan.needed,
                                  part.plan.estimate, entry.priority,
                                  placed.failed_at};
  auto place = endpoints_.Choose(request);
  placed.waits = !place;
  placed.withdrawn = false;
  if (!place) place = endpoints_.ChooseToWait(request);
  if (!place) {
    too_large[entry.service] = part.plan.needed.cpu_milli;
    return false;
  }
  if (placed.waits) ordered_to_wait_.insert(waiting);
  placed.phase = task_phase::placed;
  placed.place = *place;
  ++placed.run;
  ++entry.possible_runs;
  queued_core_ms_[entry.service] -= CoreMs(part.plan);
  admission_.Placed(CoreMs(part.plan));
  placed_.Add();
  run_start start;
  start.endpoint = place->endpoint;
  start.key = {waiting.job, 0, waiting.step, waiting.index, placed.run};
  start.service = entry.service;
  start.spec = entry.request.spec;
  start.needed = part.plan.needed;
  start.estimate = part.plan.estimate;
  start.slack = std::chrono::duration_cast<milliseconds>(part.latest_start -
                                                         clock_.SteadyNow());
  start.job_started = entry.working;
  start.priority = entry.priority;
  std::tie(start.order, start.newest_timestamp) =
      endpoints_.Place(*place, start.key, part.plan.needed, part.plan.estimate);
  LogRun("run_placed", *place, start.key,
         {{"wait_ms", Milliseconds(clock_.SteadyNow() - entry.arrived)}});
  hooks_.send(place->link, start);
  return true;
}

void parallel_job_controller::Again(job& entry, const run_key& key) {
  again_.Add();
  Enqueue(entry, key.step, key.index);
}

void parallel_job_controller::TaskDone(job& entry, const run_key& key) {
  step& part = entry.steps[key.step];
  part.tasks[key.index].phase = task_phase::done;
  MarkWorking(entry);
  if (--part.open > 0) return;
  if (--entry.open_steps > 0) {
    ReleaseSteps(entry);
    return;
  }
  complete_.Add();
  job_seconds_.Add(clock_.SteadyNow() - entry.arrived);
  End(job_id(entry.request.id),
      {job_outcome::complete, refusal_reason::task_failed, std::nullopt});
}

void parallel_job_controller::TaskFailed(job& entry, const run_key& key,
                                         const endpoint_id& endpoint) {
  task& failed = entry.steps[key.step].tasks[key.index];
  failed.failed_at.push_back(endpoint);
  log_.Write("run_failed", {{"job", key.job.Value()},
                            {"step", key.step},
                            {"index", key.index},
                            {"run", key.run},
                            {"endpoint", endpoint.Value()},
                            {"failures", failed.failures + 1},
                            {"attempts", entry.max_attempts}});
  if (++failed.failures < entry.max_attempts) {
    Again(entry, key);
    return;
  }
  failed_.Add();
  failed.phase = task_phase::done;
  End(job_id(entry.request.id),
      {job_outcome::failed, refusal_reason::task_failed, std::nullopt});
}

job_answer parallel_job_controller::TimeoutAnswer(const job& entry) const {
  if (entry.possible_runs > 0) {
    return {job_outcome::timed_out, refusal_reason::deadline_running,
            std::nullopt};
  }
  return {job_outcome::overloaded, refusal_reason::deadline_in_queue,
          kRetryAfterUnknown};
}

void parallel_job_controller::End(const job_id& id, const job_answer& answer) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  const std::unique_ptr<job> entry = std::move(found->second);
  Dequeue(*entry);
  jobs_.erase(found);
  for (std::uint32_t s = 0; s < entry->steps.size(); ++s) {
    for (std::uint32_t i = 0; i < entry->steps[s].tasks.size(); ++i) {
      const task& open = entry->steps[s].tasks[i];
      if (open.phase != task_phase::placed) continue;
      hooks_.send(open.place.link,
                  run_stop{open.place.endpoint, {id, 0, s, i, open.run}});
    }
  }
  log_.Write("job_answered",
             {{"job", id.Value()},
              {"route", entry->route_name},
              {"outcome", OutcomeName(answer.outcome)},
              {"reason", answer.outcome == job_outcome::complete
                             ? ""
                             : std::string(Name(answer.reason))},
              {"begun", entry->possible_runs > 0},
              {"age_ms", Milliseconds(clock_.SteadyNow() - entry->arrived)}});
  for (const auto& [caller, on_answer] : entry->callers) on_answer(answer);
}

void parallel_job_controller::LogRun(const char* event,
                                     const endpoint_key& place,
                                     const run_key& key,
                                     const nlohmann::json& more) {
  nlohmann::json fields = more;
  fields["job"] = key.job.Value();
  fields["step"] = key.step;
  fields["index"] = key.index;
  fields["run"] = key.run;
  fields["endpoint"] = place.endpoint.Value();
  log_.Write(event, fields);
}

parallel_job_controller::job* parallel_job_controller::Find(const job_id& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

service_backlog parallel_job_controller::Backlog(
    const service_id& service) const {
  const auto queued = queued_core_ms_.find(service);
  return {endpoints_.TotalCpu(service), endpoints_.UnusedCpu(service),
          queued == queued_core_ms_.end() ? 0 : queued->second};
}

}  // namespace almond
