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

bool suspension_controller::HoldsSlot(run_state state) {
  return state == run_state::running || state == run_state::pausing ||
         state == run_state::resuming;
}

bool suspension_controller::IsSuspended(run_state state) {
  return !HoldsSlot(state);
}

bool suspension_controller::LongKindCapReached(const request_kind& kind) const {
  return !controls_.pause && kinds_.IsLong(kind) &&
         AgedOnSlot() >= policy_.long_slots(slots_.Capacity());
}

void suspension_controller::Add(run_id run, const request_kind& kind,
                                const task_size& size) {
  constexpr double kSmoothingFactor = 0.125;
  run_record& added = runs_[run];
  added.kind = kind;
  added.size = size;
  added.time_slice_start = clock_.SteadyNow();
  resources_.TakeCpu(size);
  resources_.TakeMemory(size);
  mean_memory_mib_ += kSmoothingFactor * (size.memory_mib - mean_memory_mib_);
}

std::optional<milliseconds> suspension_controller::Remove(run_id run) {
  const auto position = runs_.find(run);
  if (position == runs_.end()) return std::nullopt;
  const run_record& ended = position->second;
  const duration run_time = RunTime(ended);
  if (HoldsSlot(ended.state)) {
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
  if (IsSuspended(run.state)) return run.previous_run_time;
  return run.previous_run_time + (clock_.SteadyNow() - run.time_slice_start);
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
    if (run.state != run_state::resuming || run.control_in_flight) continue;
    if (run.retry_at > clock_.SteadyNow()) continue;
    run.control_in_flight = true;
    actions.push_back({id, task_control::resume});
  }
}

void suspension_controller::Resume(std::vector<action>& actions) {
  const std::uint32_t unmet = slots_.UnmetDemand();
  const std::uint32_t reserved =
      policy_.reserved_slots(slots_.Capacity(), slots_.Overloaded());
  while (slots_.FreeSlots() > 0 && (unmet == 0 || AgedOnSlot() < reserved)) {
    auto* next = NextToResume();
    if (next == nullptr) return;
    run_record& run = next->second;
    const bool memory = run.state == run_state::checkpointed;
    // Tasks are resumed in the order of their pauses: no other task is resumed
    // before one that does not fit yet.
    if (!resources_.CpuFits(run.size.cpu_milli) ||
        (memory && !resources_.MemoryFits(run.size.memory_mib))) {
      return;
    }
    slots_.TakeSlot();
    resources_.TakeCpu(run.size);
    if (memory) resources_.TakeMemory(run.size);
    run.state = run_state::resuming;
    run.time_slice_start = clock_.SteadyNow();
    run.control_in_flight = true;
    actions.push_back({next->first, task_control::resume});
  }
}

suspension_controller::run_map::value_type*
suspension_controller::NextToResume() {
  run_map::value_type* best = nullptr;
  for (auto& candidate : runs_) {
    const run_record& run = candidate.second;
    if (!IsSuspended(run.state) || run.control_in_flight) continue;
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
  const std::uint32_t unmet = slots_.UnmetDemand();
  const std::uint32_t expected_free =
      slots_.FreeSlots() + slots_.IdleGrants() + Count(run_state::pausing);
  const std::uint32_t reserved =
      policy_.reserved_slots(slots_.Capacity(), slots_.Overloaded());
  std::uint32_t waiting = Suspended() + Count(run_state::pausing);
  for (std::uint32_t need = unmet > expected_free ? unmet - expected_free : 0;
       need > 0; --need) {
    if (AgedOnSlot() <= reserved) return;
    if (waiting >= policy_.max_suspended(slots_.Capacity())) return;
    auto* next = NextToPause();
    if (next == nullptr) return;
    // A paused task keeps its memory; its slot would stay unused if there is no
    // memory for a new task. Instead, a task that is already paused is
    // checkpointed if the endpoint supports it, which frees its memory.
    if (!resources_.MemoryFits(static_cast<std::uint64_t>(mean_memory_mib_))) {
      Checkpoint(actions);
      return;
    }
    next->second.state = run_state::pausing;
    next->second.control_in_flight = true;
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
    if (run.state != run_state::running || !run.aged || run.control_in_flight ||
        run.retry_at > now || now - run.time_slice_start < kMinTimeSlice) {
      continue;
    }
    if (best == nullptr ||
        run.time_slice_start < best->second.time_slice_start) {
      best = &candidate;
    }
  }
  return best;
}

void suspension_controller::Checkpoint(std::vector<action>& actions) {
  if (!controls_.checkpoint) return;
  if (Count(run_state::checkpointing) > 0) return;
  // The task that was paused last is resumed last, so its freed memory is
  // available to others for the longest time.
  run_map::value_type* best = nullptr;
  for (auto& candidate : runs_) {
    const run_record& run = candidate.second;
    if (run.state != run_state::suspended || run.checkpoint_failed) continue;
    if (run.size.memory_mib == 0) continue;
    if (best == nullptr || run.pause_order > best->second.pause_order) {
      best = &candidate;
    }
  }
  if (best == nullptr) return;
  best->second.state = run_state::checkpointing;
  best->second.control_in_flight = true;
  actions.push_back({best->first, task_control::checkpoint});
}

void suspension_controller::OnControlResult(run_id run, task_control control,
                                            task_control_result result) {
  const auto position = runs_.find(run);
  if (position == runs_.end()) return;
  run_record& changed = position->second;
  if (control == task_control::stop) return;
  changed.control_in_flight = false;
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
    run.retry_at = clock_.SteadyNow() + kControlRetryPeriod;
  } else {
    // The task may be paused or running: it keeps its slot until a resume is
    // confirmed.
    run.state = run_state::resuming;
    run.retry_at = clock_.SteadyNow();
  }
}

void suspension_controller::Suspend(run_record& run) {
  run.previous_run_time = RunTime(run);
  run.state = run_state::suspended;
  run.pause_order = ++pause_count_;
  slots_.ReleaseSlot();
  resources_.FreeCpu(run.size);
}

void suspension_controller::OnResumeEnd(run_record& run,
                                        task_control_result result) {
  if (run.state != run_state::resuming) return;
  run.retry_at = clock_.SteadyNow() + kControlRetryPeriod;
  if (result == task_control_result::failed) return;
  // A resume is rejected if the task is not paused.
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
    run.checkpoint_failed = true;
  }
}

std::uint32_t suspension_controller::Count(run_state state) const {
  return static_cast<std::uint32_t>(std::count_if(
      runs_.begin(), runs_.end(),
      [state](const auto& run) { return run.second.state == state; }));
}

std::uint32_t suspension_controller::Suspended() const {
  return static_cast<std::uint32_t>(std::count_if(
      runs_.begin(), runs_.end(),
      [](const auto& run) { return IsSuspended(run.second.state); }));
}

std::uint32_t suspension_controller::WantedSlots() const {
  return slots_.UnmetDemand() == 0 ? Suspended() : 0;
}

std::uint32_t suspension_controller::AgedOnSlot() const {
  return static_cast<std::uint32_t>(
      std::count_if(runs_.begin(), runs_.end(), [](const auto& run) {
        return run.second.aged && HoldsSlot(run.second.state) &&
               run.second.state != run_state::pausing;
      }));
}

}  // namespace almond
