#include "libalmond/controllers/entry/task_placer.h"

#include <tuple>
#include <utility>

namespace almond {

bool unplaceable_sizes::Excludes(const service_id& service,
                                 const resources& needed) const {
  const auto found = smallest_cpu_.find(service);
  return found != smallest_cpu_.end() && needed.cpu_milli >= found->second;
}

task_placer::task_placer(const clock_interface& clock, decision_log& log,
                         metrics_registry& metrics, endpoint_pool& endpoints,
                         hooks callbacks)
    : clock_(clock),
      log_(log),
      endpoints_(endpoints),
      hooks_(std::move(callbacks)),
      runs_placed_(metrics.Counter("almond_runs_placed_total")) {}

bool task_placer::TryPlace(parallel_job& current, const waiting_task& waiting,
                           unplaceable_sizes& unplaceable) {
  parallel_step& current_step = current.steps[waiting.step];
  const job_step& plan = current_step.plan;
  if (current.refusing) return false;
  if (unplaceable.Excludes(current.service, plan.needed)) return false;
  parallel_task& placed = current_step.tasks[waiting.index];
  const placement_request request{current.service, plan.needed, plan.estimate,
                                  current.priority, placed.failed_at};
  auto place = endpoints_.ChooseEndpoint(request);
  placed.waits_at_agent = !place;
  placed.withdrawal_sent = false;
  if (!place) place = endpoints_.ChooseWaitingPlace(request);
  if (!place) {
    unplaceable.Add(current.service, plan.needed.cpu_milli);
    return false;
  }
  if (placed.waits_at_agent) waiting_orders_.insert(waiting);
  placed.phase = task_phase::placed;
  placed.place = *place;
  ++placed.run;
  ++current.possible_runs;
  runs_placed_.Add();
  const steady_time now = clock_.SteadyNow();
  run_start start;
  start.endpoint = place->endpoint;
  start.key = {waiting.job, 0, waiting.step, waiting.index, placed.run};
  start.service = current.service;
  start.spec = current.request.spec;
  start.needed = plan.needed;
  start.estimate = plan.estimate;
  start.slack =
      std::chrono::duration_cast<milliseconds>(current_step.latest_start - now);
  start.job_started = current.started;
  start.priority = current.priority;
  std::tie(start.order, start.newest_timestamp) =
      endpoints_.RecordPlacement(*place, start.key, plan.needed, plan.estimate);
  const auto waited =
      std::chrono::duration_cast<milliseconds>(now - current.arrived);
  LogRun(log_, "run_placed", *place, start.key, {{"wait_ms", waited.count()}});
  hooks_.send(place->link, start);
  return true;
}

void task_placer::Withdraw(const parallel_job& current,
                           std::uint32_t step_number, parallel_task& ordered,
                           std::uint32_t index) {
  ordered.withdrawal_sent = true;
  hooks_.send(
      ordered.place.link,
      run_withdraw{ordered.place.endpoint,
                   {current.request.id, 0, step_number, index, ordered.run}});
}

void task_placer::WithdrawWaiting(parallel_job& current) {
  for (std::uint32_t s = 0; s < current.steps.size(); ++s) {
    for (std::uint32_t i = 0; i < current.steps[s].tasks.size(); ++i) {
      parallel_task& ordered = current.steps[s].tasks[i];
      if (ordered.phase == task_phase::placed && ordered.waits_at_agent &&
          !ordered.withdrawal_sent) {
        Withdraw(current, s, ordered, i);
      }
    }
  }
}

void task_placer::WithdrawForFreeResources() {
  // Uses resources that remain free after all queued tasks were offered them.
  unplaceable_sizes unplaceable;
  for (auto position = waiting_orders_.begin();
       position != waiting_orders_.end();) {
    const waiting_task waiting = *position;
    parallel_job* current = hooks_.find_job(waiting.job);
    parallel_task* ordered =
        current == nullptr ? nullptr
                           : &current->steps[waiting.step].tasks[waiting.index];
    if (ordered == nullptr || ordered->phase != task_phase::placed ||
        !ordered->waits_at_agent || ordered->withdrawal_sent) {
      position = waiting_orders_.erase(position);
      continue;
    }
    ++position;
    const job_step& plan = current->steps[waiting.step].plan;
    if (unplaceable.Excludes(current->service, plan.needed)) continue;
    const auto better =
        endpoints_.ChooseEndpoint({current->service, plan.needed, plan.estimate,
                                   current->priority, ordered->failed_at});
    // One withdrawal per service and pass, as each would choose the same
    // resources.
    unplaceable.Add(current->service, better ? 0 : plan.needed.cpu_milli);
    if (better) Withdraw(*current, waiting.step, *ordered, waiting.index);
  }
}

void task_placer::WithdrawFromEvacuated() {
  // Withdraw may end runs at once, which changes waiting_orders_.
  const std::set<waiting_task> orders = waiting_orders_;
  for (const waiting_task& waiting : orders) {
    parallel_job* current = hooks_.find_job(waiting.job);
    if (current == nullptr) continue;
    parallel_task& ordered = current->steps[waiting.step].tasks[waiting.index];
    if (ordered.phase == task_phase::placed && ordered.waits_at_agent &&
        !ordered.withdrawal_sent && endpoints_.IsEvacuated(ordered.place)) {
      Withdraw(*current, waiting.step, ordered, waiting.index);
    }
  }
}

void LogRun(decision_log& log, const char* event, const endpoint_key& place,
            const run_key& key, const nlohmann::json& more) {
  nlohmann::json fields = more;
  fields["job"] = key.job.Value();
  fields["step"] = key.step;
  fields["index"] = key.index;
  fields["run"] = key.run;
  fields["endpoint"] = place.endpoint.Value();
  log.Write(event, fields);
}

}  // namespace almond
