#include "libalmond/controllers/agent/suspension_controller.h"

#include <algorithm>

namespace almond {

void suspension_controller::SetEndpoint(const endpoint_controls& controls,
                                        std::uint32_t cpu_milli,
                                        std::uint32_t memory_mib) {
  controls_ = controls;
  resources_.SetTotal(cpu_milli, memory_mib);
}

void suspension_controller::Reset() {
  runs_.clear();
  resources_.Reset();
}

bool suspension_controller::OnSlot(run_state state) {
  return state == run_state::running || state == run_state::pausing ||
         state == run_state::resuming;
}

bool suspension_controller::Waiting(run_state state) { return !OnSlot(state); }

bool suspension_controller::Capped(const request_kind& kind) const {
  return !controls_.pause && kinds_.Long(kind) &&
         AgedOnSlot() >= policy_.long_slots(slots_.Capacity());
}

void suspension_controller::Add(run_id run, const request_kind& kind,
                                const task_size& size) {
  constexpr double kWeight = 0.125;
  run_record& added = runs_[run];
  added.kind = kind;
  added.size = size;
  added.stint_start = clock_.SteadyNow();
  resources_.TakeCpu(size);
  resources_.TakeMemory(size);
  typical_memory_ += kWeight * (size.memory_mib - typical_memory_);
}

std::optional<milliseconds> suspension_controller::Remove(run_id run) {
  const auto position = runs_.find(run);
  if (position == runs_.end()) return std::nullopt;
  const run_record& ended = position->second;
  const duration run_time = RunTime(ended);
  if (OnSlot(ended.state)) {
    slots_.ReleaseSlot();
    resources_.FreeCpu(ended.size);
  }
  if (ended.state != run_state::checkpointed) resources_.FreeMemory(ended.size);
  if (!ended.aged) {
    const auto limit = policy_.suspend_after();
    kinds_.Observe(ended.kind, limit && run_time >= *limit);
  }
  runs_.erase(position);
  return std::chrono::duration_cast<milliseconds>(run_time);
}

duration suspension_controller::RunTime(const run_record& run) const {
  if (Waiting(run.state)) return run.run_before;
  return run.run_before + (clock_.SteadyNow() - run.stint_start);
}

void suspension_controller::MarkAged() {
  const auto limit = policy_.suspend_after();
  if (!limit) return;
  for (auto& [id, run] : runs_) {
    if (run.aged || RunTime(run) < *limit) continue;
    run.aged = true;
    kinds_.Observe(run.kind, true);
  }
}

std::vector<suspension_controller::action> suspension_controller::Decide() {
  std::vector<action> actions;
  MarkAged();
  RetryResumes(actions);
  Resume(actions);
  Pause(actions);
  return actions;
}

void suspension_controller::RetryResumes(std::vector<action>& actions) {
  for (auto& [id, run] : runs_) {
    if (run.state != run_state::resuming || run.calling) continue;
    if (run.retry_at > clock_.SteadyNow()) continue;
    run.calling = true;
    actions.push_back({id, task_control::resume});
  }
}

void suspension_controller::Resume(std::vector<action>& actions) {
  const std::uint32_t unmet = slots_.Unmet();
  const std::uint32_t reserved =
      policy_.reserved_slots(slots_.Capacity(), slots_.Overloaded());
  while (slots_.Free() > 0 && (unmet == 0 || AgedOnSlot() < reserved)) {
    auto* next = NextToResume();
    if (next == nullptr) return;
    run_record& run = next->second;
    const bool memory = run.state == run_state::checkpointed;
    // First paused first: a task that does not fit yet is not overtaken.
    if (!resources_.CpuFits(run.size.cpu_milli) ||
        (memory && !resources_.MemoryFits(run.size.memory_mib))) {
      return;
    }
    slots_.TakeSlot();
    resources_.TakeCpu(run.size);
    if (memory) resources_.TakeMemory(run.size);
    run.state = run_state::resuming;
    run.stint_start = clock_.SteadyNow();
    run.calling = true;
    actions.push_back({next->first, task_control::resume});
  }
}

suspension_controller::run_map::value_type*
suspension_controller::NextToResume() {
  run_map::value_type* best = nullptr;
  for (auto& candidate : runs_) {
    const run_record& run = candidate.second;
    if (!Waiting(run.state) || run.calling) continue;
    if (best == nullptr || run.pause_order < best->second.pause_order) {
      best = &candidate;
    }
  }
  return best;
}

void suspension_controller::Pause(std::vector<action>& actions) {
  if (!controls_.pause || !slots_.Granting() || !policy_.suspend_after()) {
    return;
  }
  const std::uint32_t unmet = slots_.Unmet();
  const std::uint32_t coming =
      slots_.Free() + slots_.Idle() + Count(run_state::pausing);
  const std::uint32_t reserved =
      policy_.reserved_slots(slots_.Capacity(), slots_.Overloaded());
  std::uint32_t waiting = Suspended() + Count(run_state::pausing);
  for (std::uint32_t need = unmet > coming ? unmet - coming : 0; need > 0;
       --need) {
    if (AgedOnSlot() <= reserved) return;
    if (waiting >= policy_.max_suspended(slots_.Capacity())) return;
    auto* next = NextToPause();
    if (next == nullptr) return;
    // A paused task keeps its memory; a slot without memory for new work would
    // stay unused.
    if (!resources_.MemoryFits(static_cast<std::uint64_t>(typical_memory_))) {
      Checkpoint(actions);
      return;
    }
    next->second.state = run_state::pausing;
    next->second.calling = true;
    ++waiting;
    actions.push_back({next->first, task_control::pause});
  }
}

suspension_controller::run_map::value_type*
suspension_controller::NextToPause() {
  const steady_time now = clock_.SteadyNow();
  run_map::value_type* best = nullptr;
  for (auto& candidate : runs_) {
    const run_record& run = candidate.second;
    if (run.state != run_state::running || !run.aged || run.calling ||
        run.retry_at > now || now - run.stint_start < kMinStint) {
      continue;
    }
    if (best == nullptr || run.stint_start < best->second.stint_start) {
      best = &candidate;
    }
  }
  return best;
}

void suspension_controller::Checkpoint(std::vector<action>& actions) {
  if (!controls_.checkpoint) return;
  if (Count(run_state::checkpointing) > 0) return;
  // The task that was paused last is resumed last, so that its memory is of use
  // to others for the longest time.
  run_map::value_type* best = nullptr;
  for (auto& candidate : runs_) {
    const run_record& run = candidate.second;
    if (run.state != run_state::suspended || run.keeps_memory) continue;
    if (run.size.memory_mib == 0) continue;
    if (best == nullptr || run.pause_order > best->second.pause_order) {
      best = &candidate;
    }
  }
  if (best == nullptr) return;
  best->second.state = run_state::checkpointing;
  best->second.calling = true;
  actions.push_back({best->first, task_control::checkpoint});
}

void suspension_controller::OnControlResult(run_id run, task_control control,
                                            task_control_result result) {
  const auto position = runs_.find(run);
  if (position == runs_.end()) return;
  run_record& changed = position->second;
  if (control == task_control::stop) return;
  changed.calling = false;
  if (control == task_control::pause) {
    OnPauseEnd(changed, result);
  } else if (control == task_control::resume) {
    OnResumeEnd(changed, result);
  } else {
    OnCheckpointEnd(changed, result);
  }
}

void suspension_controller::OnPauseEnd(run_record& run,
                                       task_control_result result) {
  if (run.state != run_state::pausing) return;
  if (result == task_control_result::done) {
    Suspend(run);
  } else if (result == task_control_result::rejected) {
    run.state = run_state::running;
    run.retry_at = clock_.SteadyNow() + kRetry;
  } else {
    // The task may be paused: it keeps its slot until a resume is confirmed.
    run.state = run_state::resuming;
    run.retry_at = clock_.SteadyNow();
  }
}

void suspension_controller::Suspend(run_record& run) {
  run.run_before = RunTime(run);
  run.state = run_state::suspended;
  run.pause_order = ++pauses_;
  slots_.ReleaseSlot();
  resources_.FreeCpu(run.size);
}

void suspension_controller::OnResumeEnd(run_record& run,
                                        task_control_result result) {
  if (run.state != run_state::resuming) return;
  run.retry_at = clock_.SteadyNow() + kRetry;
  if (result == task_control_result::failed) return;
  // A rejected resume is of a task that is not paused.
  run.state = run_state::running;
}

void suspension_controller::OnCheckpointEnd(run_record& run,
                                            task_control_result result) {
  if (run.state != run_state::checkpointing) return;
  if (result == task_control_result::done) {
    run.state = run_state::checkpointed;
    resources_.FreeMemory(run.size);
  } else {
    run.state = run_state::suspended;
    run.keeps_memory = true;
  }
}

std::uint32_t suspension_controller::Count(run_state state) const {
  return static_cast<std::uint32_t>(std::count_if(
      runs_.begin(), runs_.end(),
      [state](const auto& run) { return run.second.state == state; }));
}

std::uint32_t suspension_controller::Suspended() const {
  return static_cast<std::uint32_t>(
      std::count_if(runs_.begin(), runs_.end(),
                    [](const auto& run) { return Waiting(run.second.state); }));
}

std::uint32_t suspension_controller::WantedSlots() const {
  return slots_.Unmet() == 0 ? Suspended() : 0;
}

std::uint32_t suspension_controller::AgedOnSlot() const {
  return static_cast<std::uint32_t>(
      std::count_if(runs_.begin(), runs_.end(), [](const auto& run) {
        return run.second.aged && OnSlot(run.second.state) &&
               run.second.state != run_state::pausing;
      }));
}

}  // namespace almond
