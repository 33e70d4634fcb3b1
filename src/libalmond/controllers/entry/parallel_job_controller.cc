#include "libalmond/controllers/entry/parallel_job_controller.h"

#include <algorithm>
#include <utility>

namespace almond {
namespace {

std::int64_t CountMilliseconds(duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

/// @returns the expected CPU time of a task, on one core
milliseconds CpuTime(const job_step& plan) {
  return plan.estimate * plan.needed.cpu_milli / 1000;
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
      started_at_(clock.SteadyNow()),
      admission_(clock),
      placer_(clock, log, metrics, endpoints,
              {hooks_.send, [this](const job_id& id) { return FindJob(id); }}),
      complete_(metrics.Counter("almond_jobs_total", "outcome=\"complete\"")),
      failed_(metrics.Counter("almond_jobs_total", "outcome=\"failed\"")),
      refused_(metrics.Counter("almond_jobs_total", "outcome=\"refused\"")),
      timed_out_(metrics.Counter("almond_jobs_total", "outcome=\"timed-out\"")),
      callers_left_(
          metrics.Counter("almond_jobs_total", "outcome=\"caller-left\"")),
      runs_retried_(metrics.Counter("almond_runs_again_total")),
      job_seconds_(metrics.Summary("almond_job_seconds")),
      wait_seconds_(metrics.Summary("almond_job_wait_seconds")) {}

caller_id parallel_job_controller::Submit(const route& rule,
                                          const job_request& request,
                                          answer_hook on_answer) {
  last_caller_ = last_caller_.Next();
  const caller_id caller = last_caller_;
  if (parallel_job* known = FindJob(request.id)) {
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
  const milliseconds critical_path = CriticalPath(request.steps);
  if (const auto refused = CheckAdmission(rule, request, critical_path)) {
    refused_.Add();
    metrics_.Refusals(refused->reason).Add();
    log_.Write("job_refused",
               {{"job", request.id.Value()},
                {"route", rule.name},
                {"reason", Name(refused->reason)},
                {"timeout_ms", request.timeout.count()},
                {"chain_ms", critical_path.count()},
                {"queued_core_ms", queued_cpu_time_[rule.service].count()},
                {"unused_cpu_milli", endpoints_.UnusedCpu(rule.service)}});
    on_answer(*refused);
    return;
  }
  auto current = std::make_unique<parallel_job>();
  current->request = request;
  current->service = rule.service;
  current->route_name = rule.name;
  current->priority = rule.priority;
  current->max_attempts = std::max<std::uint32_t>(1, rule.max_attempts);
  current->arrived = now;
  current->deadline = now + request.timeout;
  current->callers[caller] = std::move(on_answer);
  const auto objective = std::chrono::duration_cast<duration>(
      critical_path * rule.stretch +
      std::chrono::duration<double, std::milli>(rule.slack));
  current->start_deadline = now + std::chrono::duration_cast<duration>(
                                      objective * kMaxStartDelayRatio);
  for (const job_step& plan : request.steps) {
    parallel_step& added = current->steps.emplace_back();
    added.plan = plan;
    added.tasks.resize(plan.count);
    added.open = plan.count;
    added.latest_start = now + objective -
                         std::chrono::duration_cast<duration>(
                             plan.estimate * kEstimateMarginFactor);
  }
  current->open_steps = static_cast<std::uint32_t>(current->steps.size());
  log_.Write("job_accepted", {{"job", request.id.Value()},
                              {"route", rule.name},
                              {"tasks", request.steps.front().count},
                              {"steps", request.steps.size()},
                              {"estimate_ms", critical_path.count()},
                              {"timeout_ms", request.timeout.count()},
                              {"queued", queue_.size()}});
  parallel_job& added = *(jobs_[request.id] = std::move(current));
  ReleaseSteps(added);
  Dispatch();
}

std::optional<job_answer> parallel_job_controller::CheckAdmission(
    const route& rule, const job_request& request, milliseconds critical_path) {
  const bool starting_up =
      clock_.SteadyNow() - started_at_ < kStartupGracePeriod;
  if (!endpoints_.HasEndpoint(rule.service) && starting_up) return std::nullopt;
  if (!endpoints_.HasEndpoint(rule.service)) {
    return job_answer{job_outcome::unavailable, refusal_reason::no_endpoint,
                      kDefaultRetryAfter};
  }
  for (const job_step& plan : request.steps) {
    if (!endpoints_.FitsWhenIdle(rule.service, plan.needed)) {
      return job_answer{job_outcome::unavailable,
                        refusal_reason::exceeds_capacity, std::nullopt};
    }
    if (!endpoints_.FitsOutsideEvacuated(rule.service, plan.needed)) {
      return job_answer{job_outcome::unavailable, refusal_reason::no_endpoint,
                        kDefaultRetryAfter};
    }
  }
  return admission_.Check(request, critical_path, ServiceBacklog(rule.service));
}

void parallel_job_controller::RemoveCaller(const job_id& id, caller_id caller) {
  parallel_job* current = FindJob(id);
  if (current == nullptr || current->callers.erase(caller) == 0) return;
  if (!current->callers.empty()) return;
  callers_left_.Add();
  log_.Write(
      "caller_disconnected",
      {{"job", id.Value()},
       {"age_ms", CountMilliseconds(clock_.SteadyNow() - current->arrived)},
       {"begun", current->possible_runs > 0}});
  End(id, {job_outcome::interrupted, refusal_reason::cancelled, std::nullopt});
}

void parallel_job_controller::OnEndpointState(link_id link,
                                              const endpoint_state& state) {
  endpoints_.Update(link, state);
  Dispatch();
  placer_.WithdrawForFreeResources();
}

void parallel_job_controller::OnEvacuations() {
  placer_.WithdrawFromEvacuated();
  Dispatch();
}

void parallel_job_controller::OnRunEnd(link_id link, const run_end& end) {
  const endpoint_key place{link, end.endpoint};
  endpoints_.OnRunEnd(place, end);
  parallel_job* current = FindJob(end.key.job);
  if (current == nullptr || end.key.step >= current->steps.size()) return;
  parallel_step& current_step = current->steps[end.key.step];
  if (end.key.index >= current_step.tasks.size()) return;
  const parallel_task& ended = current_step.tasks[end.key.index];
  // Ignores the end of an earlier run, or of another attempt of this job.
  if (ended.phase != task_phase::placed || ended.run != end.key.run ||
      ended.place != place) {
    return;
  }
  switch (end.kind) {
    case run_end_kind::done:
      OnTaskDone(*current, end.key);
      break;
    case run_end_kind::failed:
      OnTaskFailed(*current, end.key, end.endpoint);
      break;
    case run_end_kind::superseded:
      --current->possible_runs;
      current_step.tasks[end.key.index].run += kRunNumberStep;
      RetryRun(*current, end.key);
      break;
    case run_end_kind::stopped:
      // The agent stopped the run because it made no progress or its start was
      // not answered.
      current_step.tasks[end.key.index].failed_at.push_back(end.endpoint);
      endpoints_.RecordFault(place);
      LogRun(log_, "run_retried", place, end.key,
             {{"kind", static_cast<int>(end.kind)}});
      RetryRun(*current, end.key);
      break;
    case run_end_kind::not_run:
      --current->possible_runs;
      [[fallthrough]];
    case run_end_kind::lost:
      LogRun(log_, "run_retried", place, end.key,
             {{"kind", static_cast<int>(end.kind)}});
      RetryRun(*current, end.key);
      break;
  }
  Dispatch();
}

void parallel_job_controller::OnLinkClosed(link_id link) {
  endpoints_.RemoveLink(link);
  const steady_time end = clock_.SteadyNow() + kInDoubtPeriod;
  for (auto& [id, current] : jobs_) {
    for (parallel_step& current_step : current->steps) {
      for (parallel_task& lost : current_step.tasks) {
        if (lost.phase != task_phase::placed || lost.place.link != link) {
          continue;
        }
        lost.phase = task_phase::in_doubt;
        lost.in_doubt_until = end;
        log_.Write("run_in_doubt", {{"job", id.Value()},
                                    {"run", lost.run},
                                    {"endpoint", lost.place.endpoint.Value()},
                                    {"doubt_ms", kInDoubtPeriod.count()}});
      }
    }
  }
}

void parallel_job_controller::Tick() {
  const steady_time now = clock_.SteadyNow();
  std::vector<job_id> ending_jobs;
  for (auto& [id, current] : jobs_) {
    if (current->deadline <= now) {
      ending_jobs.push_back(id);
      continue;
    }
    if (RefusesLateStart(*current, now)) {
      ending_jobs.push_back(id);
      continue;
    }
    for (std::uint32_t s = 0; s < current->steps.size(); ++s) {
      parallel_step& current_step = current->steps[s];
      for (std::uint32_t i = 0; i < current_step.tasks.size(); ++i) {
        if (current_step.tasks[i].phase == task_phase::in_doubt &&
            current_step.tasks[i].in_doubt_until <= now) {
          Enqueue(*current, s, i);
        }
      }
    }
  }
  for (const job_id& id : ending_jobs) {
    const bool ran = jobs_.at(id)->possible_runs > 0;
    (ran ? timed_out_ : refused_).Add();
    End(id, TimeoutAnswer(*jobs_.at(id)));
  }
  Dispatch();
}

bool parallel_job_controller::RefusesLateStart(parallel_job& current,
                                               steady_time now) {
  if (current.started) return false;
  const bool too_late =
      now + current.steps.front().plan.estimate > current.deadline;
  if (!too_late && now < current.start_deadline) return false;
  current.refusing = true;
  if (current.possible_runs == 0) return true;
  placer_.WithdrawWaiting(current);
  return false;
}

void parallel_job_controller::InterruptAll() {
  while (!jobs_.empty()) {
    const parallel_job& current = *jobs_.begin()->second;
    const job_answer answer =
        current.possible_runs > 0
            ? job_answer{job_outcome::interrupted, refusal_reason::draining,
                         std::nullopt}
            : job_answer{job_outcome::unavailable, refusal_reason::draining,
                         milliseconds(0)};
    End(job_id(current.request.id), answer);
  }
}

void parallel_job_controller::ReleaseSteps(parallel_job& current) {
  for (std::uint32_t s = 0; s < current.steps.size(); ++s) {
    parallel_step& next = current.steps[s];
    const bool ready = std::all_of(next.plan.dependencies.begin(),
                                   next.plan.dependencies.end(),
                                   [&current](std::uint32_t earlier) {
                                     return current.steps[earlier].open == 0;
                                   });
    if (!ready) continue;
    for (std::uint32_t i = 0; i < next.tasks.size(); ++i) {
      if (next.tasks[i].phase == task_phase::blocked) Enqueue(current, s, i);
    }
  }
}

void parallel_job_controller::Enqueue(parallel_job& current,
                                      std::uint32_t step_number,
                                      std::uint32_t index) {
  parallel_step& current_step = current.steps[step_number];
  current_step.tasks[index].phase = task_phase::waiting;
  queue_.Add({current.request.id, step_number, index},
             Urgency(current, current_step));
  queued_cpu_time_[current.service] += CpuTime(current_step.plan);
}

run_urgency parallel_job_controller::Urgency(
    const parallel_job& current, const parallel_step& current_step) {
  return {current_step.latest_start, current.priority, current.started};
}

void parallel_job_controller::Dequeue(parallel_job& current) {
  for (std::uint32_t s = 0; s < current.steps.size(); ++s) {
    parallel_step& current_step = current.steps[s];
    for (std::uint32_t i = 0; i < current_step.tasks.size(); ++i) {
      if (current_step.tasks[i].phase != task_phase::waiting) continue;
      queue_.Remove({current.request.id, s, i}, Urgency(current, current_step));
      queued_cpu_time_[current.service] -= CpuTime(current_step.plan);
    }
  }
}

void parallel_job_controller::MarkStarted(parallel_job& current) {
  if (current.started) return;
  current.refusing = false;
  wait_seconds_.Add(clock_.SteadyNow() - current.arrived);
  Dequeue(current);
  current.started = true;
  for (std::uint32_t s = 0; s < current.steps.size(); ++s) {
    for (std::uint32_t i = 0; i < current.steps[s].tasks.size(); ++i) {
      if (current.steps[s].tasks[i].phase == task_phase::waiting) {
        Enqueue(current, s, i);
      }
    }
  }
}

void parallel_job_controller::Dispatch() {
  // Placing a task can end other runs at once, which must not change the queue
  // while it is being traversed.
  if (dispatching_ || queue_.size() == 0) return;
  dispatching_ = true;
  std::vector<job_id> started_jobs;
  unplaceable_sizes unplaceable;
  queue_.OfferInOrder(clock_.SteadyNow(), [&](const waiting_task& waiting) {
    parallel_job& current = *FindJob(waiting.job);
    if (!placer_.TryPlace(current, waiting, unplaceable)) return false;
    const parallel_step& current_step = current.steps[waiting.step];
    queued_cpu_time_[current.service] -= CpuTime(current_step.plan);
    admission_.RecordPlacement(CpuTime(current_step.plan));
    if (!current.started && !current_step.tasks[waiting.index].waits_at_agent) {
      started_jobs.push_back(waiting.job);
    }
    return true;
  });
  for (const job_id& id : started_jobs) MarkStarted(*FindJob(id));
  dispatching_ = false;
}

void parallel_job_controller::RetryRun(parallel_job& current,
                                       const run_key& key) {
  runs_retried_.Add();
  Enqueue(current, key.step, key.index);
}

void parallel_job_controller::OnTaskDone(parallel_job& current,
                                         const run_key& key) {
  parallel_step& current_step = current.steps[key.step];
  current_step.tasks[key.index].phase = task_phase::done;
  MarkStarted(current);
  if (--current_step.open > 0) return;
  if (--current.open_steps > 0) {
    ReleaseSteps(current);
    return;
  }
  complete_.Add();
  job_seconds_.Add(clock_.SteadyNow() - current.arrived);
  End(job_id(current.request.id),
      {job_outcome::complete, refusal_reason::task_failed, std::nullopt});
}

void parallel_job_controller::OnTaskFailed(parallel_job& current,
                                           const run_key& key,
                                           const endpoint_id& endpoint) {
  parallel_task& failed = current.steps[key.step].tasks[key.index];
  failed.failed_at.push_back(endpoint);
  log_.Write("run_failed", {{"job", key.job.Value()},
                            {"step", key.step},
                            {"index", key.index},
                            {"run", key.run},
                            {"endpoint", endpoint.Value()},
                            {"failures", failed.failures + 1},
                            {"attempts", current.max_attempts}});
  if (++failed.failures < current.max_attempts) {
    RetryRun(current, key);
    return;
  }
  failed_.Add();
  failed.phase = task_phase::done;
  End(job_id(current.request.id),
      {job_outcome::failed, refusal_reason::task_failed, std::nullopt});
}

job_answer parallel_job_controller::TimeoutAnswer(
    const parallel_job& current) const {
  if (current.possible_runs > 0) {
    return {job_outcome::timed_out, refusal_reason::deadline_running,
            std::nullopt};
  }
  return {job_outcome::overloaded, refusal_reason::deadline_in_queue,
          kDefaultRetryAfter};
}

void parallel_job_controller::End(const job_id& id, const job_answer& answer) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  const std::unique_ptr<parallel_job> current = std::move(found->second);
  Dequeue(*current);
  jobs_.erase(found);
  for (std::uint32_t s = 0; s < current->steps.size(); ++s) {
    for (std::uint32_t i = 0; i < current->steps[s].tasks.size(); ++i) {
      const parallel_task& open = current->steps[s].tasks[i];
      if (open.phase != task_phase::placed) continue;
      hooks_.send(open.place.link,
                  run_stop{open.place.endpoint, {id, 0, s, i, open.run}});
    }
  }
  log_.Write(
      "job_answered",
      {{"job", id.Value()},
       {"route", current->route_name},
       {"outcome", OutcomeName(answer.outcome)},
       {"reason", answer.outcome == job_outcome::complete
                      ? ""
                      : std::string(Name(answer.reason))},
       {"begun", current->possible_runs > 0},
       {"age_ms", CountMilliseconds(clock_.SteadyNow() - current->arrived)}});
  for (const auto& [caller, on_answer] : current->callers) on_answer(answer);
}

parallel_job* parallel_job_controller::FindJob(const job_id& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

service_backlog parallel_job_controller::ServiceBacklog(
    const service_id& service) const {
  const auto queued = queued_cpu_time_.find(service);
  return {endpoints_.TotalCpu(service), endpoints_.UnusedCpu(service),
          queued == queued_cpu_time_.end() ? milliseconds(0) : queued->second};
}

}  // namespace almond
