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

/// How the stand-in endpoint treats its tasks.
struct simulation {
  milliseconds default_run{100};  ///< for bodies that state no run time
  double slow_factor = 1;         ///< by which run times are multiplied
  bool fail_all = false;          ///< answer 500 at the end of each task
  double refuse_share = 0;        ///< share refused with a true not-run
  /// Called for each start that is not refused, before the task runs; may be
  /// empty.
  std::function<void(const http_request&)> on_start = nullptr;
};

/// Tasks of the stand-in endpoint: each runs for its simulated time on a timer.
/// It starts whatever it is given, as real endpoints do.
class simulated_tasks {
 public:
  simulated_tasks(event_loop& loop, const clock_interface& clock,
                  simulation how)
      : loop_(loop), clock_(clock), how_(std::move(how)) {}

  /// Answers POST /tasks/{id} and its controls, and GET /stats.
  void OnHttp(const http_request& request,
              const http_server::responder& respond);
  std::size_t Unfinished() const { return tasks_.size(); }

 private:
  struct task_state {
    http_server::responder respond;
    milliseconds left{0};  ///< run time left at the start of this stint
    bool paused = false;
    bool checkpointed = false;
    steady_time stint_start;
    std::string body;
    event_handle timer;
  };

  void Start(const std::string& id, const http_request& request,
             const http_server::responder& respond);
  http_response Control(const std::string& id, const std::string& control);
  milliseconds RunTime(const std::string& body) const;
  void RunOn(const std::string& id, task_state& task);
  static void Pause(task_state& task, steady_time now);
  void End(const std::string& id);
  http_response Stats() const;

  event_loop& loop_;
  const clock_interface& clock_;
  simulation how_;
  std::mt19937_64 random_{std::random_device{}()};
  std::unordered_map<std::string, task_state> tasks_;
  std::unordered_map<std::string, std::uint32_t> starts_by_id_;
  std::set<std::string> doubled_;
  std::uint64_t starts_ = 0;
  std::uint64_t completed_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t stopped_ = 0;
  std::uint64_t pauses_ = 0;
  std::uint64_t checkpoints_ = 0;
  std::size_t most_running_ = 0;
};

}  // namespace almond

#endif  // ALMOND_BENCH_ENDPOINT_SIMULATED_TASKS_H_
