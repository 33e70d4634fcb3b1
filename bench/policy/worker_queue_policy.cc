#include "bench/policy/worker_queue_policy.h"

#include <deque>
#include <random>

namespace almond::bench {
namespace {

struct worker {
  std::deque<const arrival*> queue;
  std::uint32_t busy = 0;
};

/// One run of a baseline.
class worker_queue_run {
 public:
  worker_queue_run(worker_choice choice, const system_settings& system,
                   const workload_settings& workload)
      : choice_(choice),
        system_(system),
        workers_(system.agents),
        random_(workload.seed + 1) {
    result_.policy =
        choice == worker_choice::random ? "random" : "power of two";
  }

  run_result Run(const workload_settings& workload) {
    start_ = time_.Now();
    const std::vector<arrival> arrivals = MakeArrivals(workload, start_);
    result_.offered = arrivals.size();
    duration total{0};
    for (const load_phase& phase : workload.phases) total += phase.length;
    result_.goodput.resize(static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(total).count() + 1));
    for (const arrival& task : arrivals) {
      time_.After(task.time - start_, [this, &task] { Arrive(task); });
    }
    time_.RunUntil(start_ + total + std::chrono::hours(1));
    return result_;
  }

 private:
  std::size_t Random() {
    return std::uniform_int_distribution<std::size_t>(
        0, workers_.size() - 1)(random_);
  }

  void Arrive(const arrival& task) {
    if (choice_ == worker_choice::random) {
      Send(task, Random());
      return;
    }
    // Two probes and two replies. The queue lengths are a round trip old when
    // the task arrives at the worker.
    const std::size_t first = Random();
    const std::size_t second = Random();
    result_.messages += 4;
    result_.wasted += 4;
    time_.After(system_.one_way, [this, &task, first, second] {
      const std::size_t chosen =
          Length(first) <= Length(second) ? first : second;
      time_.After(system_.one_way,
                  [this, &task, chosen] { Send(task, chosen); });
    });
  }

  std::size_t Length(std::size_t index) const {
    return workers_[index].queue.size() + workers_[index].busy;
  }

  void Send(const arrival& task, std::size_t index) {
    ++result_.messages;
    time_.After(system_.one_way, [this, &task, index] {
      workers_[index].queue.push_back(&task);
      StartNext(index);
    });
  }

  void StartNext(std::size_t index) {
    worker& chosen = workers_[index];
    while (chosen.busy < system_.slots_per_agent && !chosen.queue.empty()) {
      const arrival& task = *chosen.queue.front();
      chosen.queue.pop_front();
      if (time_.Now() >= task.deadline) {
        // The worker drops the expired task, so its start message was wasted.
        ++result_.wasted;
        ++result_.messages;
        ++result_.refused;
        continue;
      }
      ++chosen.busy;
      const duration wait = time_.Now() - task.time;
      time_.After(task.run_time, [this, &task, index, wait] {
        --workers_[index].busy;
        End(task, wait);
        StartNext(index);
      });
    }
  }

  void End(const arrival& task, duration wait) {
    ++result_.messages;
    const steady_time end = time_.Now() + system_.one_way;
    if (end > task.deadline) {
      ++result_.late;
      return;
    }
    ++result_.completed;
    const auto second = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(end - start_).count());
    if (second < result_.goodput.size()) ++result_.goodput[second];
    const double response =
        std::chrono::duration<double>(end - task.time).count();
    if (task.is_long) {
      result_.long_response.push_back(response);
    } else {
      result_.short_wait.push_back(std::chrono::duration<double>(wait).count());
    }
    result_.ratio.push_back(
        response / std::chrono::duration<double>(task.run_time).count());
  }

  worker_choice choice_;
  system_settings system_;
  std::vector<worker> workers_;
  std::mt19937_64 random_;
  virtual_time time_;
  steady_time start_;
  run_result result_;
};

}  // namespace

run_result RunWorkerQueues(worker_choice choice, const system_settings& system,
                           const workload_settings& workload) {
  worker_queue_run run(choice, system, workload);
  return run.Run(workload);
}

}  // namespace almond::bench
