#ifndef ALMOND_BENCH_LOAD_GENERATOR_H_
#define ALMOND_BENCH_LOAD_GENERATOR_H_

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/socket_address.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_client.h"
#include "load_profile.h"
#include "load_report.h"

namespace almond {

/// Settings of the load generator.
struct load_settings {
  std::vector<socket_address> entries;
  std::string service;
  std::vector<load_step> profile;
  std::size_t job_tasks = 0;  ///< tasks per job; 0 sends single requests
  milliseconds short_time{50};
  milliseconds long_time{2000};
  double long_share = 0;  ///< fraction of long tasks, 0 to 1
  std::vector<std::string> kinds;
  std::vector<std::string> teams;
  milliseconds timeout{5000};
  std::size_t max_requests = 0;
  std::size_t max_in_flight = 0;
  std::uint64_t seed = 1;
};

/// Open-loop load generator: sends requests at scheduled times, whether or not
/// earlier ones have been answered. Response times count from the scheduled
/// time, so that a slow system cannot hide its delay by holding up the
/// generator (coordinated omission).
class load_generator {
 public:
  /// Time allowed for an answer in addition to the timeout of the request.
  static constexpr milliseconds kAnswerGrace{2000};
  static constexpr milliseconds kTickPeriod{1};

  load_generator(event_loop& loop, const clock_interface& clock,
                 load_settings settings);

  /// Starts sending.
  /// @param on_end called once, after all requests have ended
  void Start(std::function<void()> on_end);
  const load_report& Report() const { return report_; }

 private:
  void Tick();
  bool PlanNext();
  void Send();
  http_request MakeRequest(load_sample& sample);
  milliseconds DrawTask(load_sample& sample);
  void OnAnswer(load_sample sample, steady_time intended,
                const http_call_result& result);

  event_loop& loop_;
  const clock_interface& clock_;
  load_settings settings_;
  load_report report_;
  std::mt19937_64 random_;
  std::function<void()> on_end_;
  event_handle timer_;
  steady_time next_;  ///< scheduled time of the next request
  steady_time step_end_;
  std::size_t step_ = 0;
  std::size_t sent_ = 0;
  std::size_t in_flight_ = 0;
  bool all_sent_ = false;
};

}  // namespace almond

#endif  // ALMOND_BENCH_LOAD_GENERATOR_H_
