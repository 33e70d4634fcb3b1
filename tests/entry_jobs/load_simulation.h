#ifndef ALMOND_TESTS_ENTRY_JOBS_LOAD_SIMULATION_H_
#define ALMOND_TESTS_ENTRY_JOBS_LOAD_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "libalmond/controllers/agent/run_controller.h"
#include "libalmond/controllers/entry/parallel_job_controller.h"

namespace almond {

/// One kind of job in a simulated load.
struct load_kind {
  route rule;
  double share = 0;  ///< share of all jobs
  std::uint32_t width = 1;
  milliseconds work{0};
  std::int64_t cpu_milli = 1000;
  /// Standard deviations of the logarithms of the width and the CPU need; the
  /// width is at most four times `width`, the CPU need 1.5 times `cpu_milli`.
  double width_spread = 0;
  double cpu_spread = 0;
};

/// @returns three kinds of jobs: "short" (8 tasks of about 51 ms), "long" (4
///   tasks of about 760 ms) and "narrow" (2 tasks of about 170 ms). Each makes
///   up a third of the value of the load.
std::vector<load_kind> MixedLoad(std::int64_t cpu_milli);
/// @returns the kinds of MixedLoad with 60, 900 and 200 ms of work, and with
///   widths and CPU needs that differ between jobs
std::vector<load_kind> UnevenLoad(std::int64_t cpu_milli);

/// Simulates entries, agents and endpoints of one service with a network, using
/// the real controllers.
class load_simulation {
 public:
  struct settings {
    std::size_t entries = 7;
    std::size_t endpoints = 11;
    std::int64_t endpoint_cpu_milli = 64000;
    /// Factors of the endpoints' size and speed, in turn.
    std::vector<double> sizes = {1};
    std::vector<double> speeds = {1};
    duration message_time = std::chrono::microseconds(900);
    /// Share of the tasks that take kTailFactor times as long.
    double tail = 0.03;
    /// Standard deviation of the logarithm of the jobs' work.
    double spread = 0.4;
    /// Standard deviation of the logarithm of the estimates.
    double estimate_error = 0.4;
    /// Entries and endpoints are spread over the data centres in turn.
    std::size_t data_centres = 1;
    duration remote_message_time = std::chrono::microseconds(2400);
    /// Share of the callers of each data centre; empty for equal shares.
    std::vector<double> callers = {};
    /// @returns true if the agent is connected to the entry; empty: always
    std::function<bool(std::size_t entry, std::size_t agent)> linked = {};
  };
  /// Results of the callers of one kind.
  struct result {
    std::size_t jobs = 0;
    std::size_t in_time = 0;  ///< completed within the objective
    std::size_t late = 0;     ///< completed within three times the objective
    std::size_t refused = 0;  ///< refused as not run
    /// Jobs of more than 1.5 times the width of their kind.
    std::size_t wide_jobs = 0;
    std::size_t wide_in_time = 0;
  };

  static constexpr double kTailFactor = 7;
  static constexpr milliseconds kCallerTime{1800};

  load_simulation(std::uint64_t seed, settings chosen,
                  std::vector<load_kind> kinds);
  ~load_simulation();
  load_simulation(const load_simulation&) = delete;
  load_simulation& operator=(const load_simulation&) = delete;

  /// Simulates jobs with random arrivals.
  /// @param load CPU time asked for, as a ratio of the capacity
  void RunLoad(duration time, double load);
  /// Simulates time without new jobs.
  void RunIdle(duration time) { RunUntil(clock_.SteadyNow() + time); }
  /// Makes a list of evacuated data centres known to the entries from number
  /// `first` on; the others are cut off from the control processes.
  void SetEvacuationsAtEntries(const evacuation_list& list,
                               std::size_t first = 0);
  /// As above, at all agents.
  void SetEvacuationsAtAgents(const evacuation_list& list);
  /// @returns number of tasks started so far at the agents of a data centre
  std::uint64_t StartedIn(std::size_t data_centre) const;
  /// Discards the results so far; jobs in progress no longer count.
  void ResetResults();
  /// @returns the results in the order of the kinds
  const std::vector<result>& Results() const { return results_; }
  /// @returns CPU time used since the last ResetResults, as a ratio of the
  ///   capacity
  double Utilisation() const;
  /// @returns CPU time of runs that were stopped or whose job was not
  ///   completed, as a ratio of the CPU time used
  double WastedWork() const { return wasted_core_ms_ / used_core_ms_; }
  /// @returns number of starts that agents refused per accepted one
  double RefusedStarts() const;
  /// @returns number of messages between entries and agents per started task
  double MessagesPerStart() const;

 private:
  struct entry_node;
  struct agent_node;

  data_centre_id DataCentre(std::size_t node) const;
  duration MessageTime(std::size_t entry, std::size_t agent) const;
  std::size_t ChooseEntry();
  double Started() const;
  void At(steady_time when, std::function<void()> action);
  void RunUntil(steady_time end);
  void TickAll();
  double Capacity() const;
  double Speed(std::size_t agent) const;
  std::int64_t CpuMilli(std::size_t agent) const;
  void SubmitJob(std::size_t kind);
  void CountAnswer(const job_answer& answer, std::size_t kind, bool wide,
                   duration took, duration objective);
  void SendToAgent(std::size_t entry, link_id link,
                   const entry_run_message& message);
  void SendStates(std::size_t agent);
  void BeginRun(std::size_t agent, const run_start& start);
  void EndRun(std::size_t agent, const run_key& key, run_end_kind kind);
  void AnswerRenewal(std::size_t agent);
  double Spread(double sigma);

  std::mt19937_64 random_;
  settings settings_;
  std::vector<load_kind> kinds_;
  manual_clock clock_;
  std::multimap<steady_time, std::function<void()>> events_;
  std::vector<std::unique_ptr<entry_node>> entries_;
  std::vector<std::unique_ptr<agent_node>> agents_;
  /// Duration of each task of a job in milliseconds.
  std::map<job_id, std::vector<double>> work_;
  /// CPU time used for each job in progress, in core milliseconds.
  std::map<job_id, double> job_core_ms_;
  std::vector<result> results_;
  std::uint64_t last_job_ = 0;
  std::uint64_t measurement_ = 0;  ///< changes with each ResetResults
  steady_time measurement_start_;
  double used_core_ms_ = 0;
  double wasted_core_ms_ = 0;
  std::uint64_t messages_ = 0;
  double started_before_ = 0;  ///< tasks started before the measurement
};

}  // namespace almond

#endif  // ALMOND_TESTS_ENTRY_JOBS_LOAD_SIMULATION_H_
