#ifndef ALMOND_BENCH_ENDPOINT_SIMULATED_TASKS_H_
#define ALMOND_BENCH_ENDPOINT_SIMULATED_TASKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "libalmond/core/clock.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_server.h"

namespace almond {

/// Settings of the task simulation.
struct simulation_settings {
  milliseconds default_run{100};  ///< for bodies without a run time
  double slow_factor = 1;         ///< factor on all run times
  bool fail_all = false;          ///< answer each task with status 500
  double refuse_share = 0;        ///< fraction of starts refused as not-run
  /// Called before each start that is not refused; may be empty.
  std::function<void(const http_request&)> on_start = nullptr;
};

/// Tasks of a simulated endpoint, each of which runs on a timer. All tasks are
/// started without checking slots and resources, as real endpoints do.
class simulated_tasks {
 public:
  simulated_tasks(event_loop& loop, const clock_interface& clock,
                  simulation_settings settings)
      : loop_(loop), clock_(clock), settings_(std::move(settings)) {}

  /// Handles POST /tasks/{id}, the controls of tasks, and GET /stats.
  void OnHttp(const http_request& request,
              const http_server::responder& respond);
  std::size_t Unfinished() const { return tasks_.size(); }

 private:
  struct task_state {
    http_server::responder respond;
    milliseconds time_left{0};  ///< at the start of the time slice
    bool paused = false;
    bool checkpointed = false;
    steady_time time_slice_start;
    std::string body;
    event_handle timer;
  };

  void Start(const std::string& id, const http_request& request,
             const http_server::responder& respond);
  http_response Control(const std::string& id, const std::string& control);
  milliseconds RunTime(const std::string& body) const;
  void ResumeTask(const std::string& id, task_state& task);
  static void Pause(task_state& task, steady_time now);
  void End(const std::string& id);
  http_response Stats() const;

  event_loop& loop_;
  const clock_interface& clock_;
  simulation_settings settings_;
  std::mt19937_64 random_{std::random_device{}()};
  std::unordered_map<std::string, task_state> tasks_;
  std::unordered_map<std::string, std::uint32_t> starts_by_id_;
  std::set<std::string> duplicate_ids_;
  std::uint64_t starts_ = 0;
  std::uint64_t completed_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t stopped_ = 0;
  std::uint64_t pauses_ = 0;
  std::uint64_t checkpoints_ = 0;
  std::size_t max_running_ = 0;
};

}  // namespace almond

#endif  // ALMOND_BENCH_ENDPOINT_SIMULATED_TASKS_H_
