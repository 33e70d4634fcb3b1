#ifndef ALMOND_BENCH_CHECKER_FAULT_LOAD_H_
#define ALMOND_BENCH_CHECKER_FAULT_LOAD_H_

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "call_record.h"
#include "libalmond/core/socket_address.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_client.h"

namespace almond {

/// Size and target of the load.
struct fault_load_settings {
  std::vector<socket_address> entries;
  std::string service;
  double rate = 0;  ///< new submissions per second
  duration length{0};
  milliseconds timeout{5000};
};

/// Generates a constant load of plain requests, jobs and submissions with id.
/// Some submissions with id are resubmitted to another entry while they run,
/// some after their end, and each whose answer was lost. After the load, every
/// submission with id is resubmitted once, to detect lost ledger records.
class fault_load {
 public:
  fault_load(event_loop& loop, const clock_interface& clock,
             fault_load_settings settings);

  /// @param on_end called once all calls have ended
  void Start(std::function<void()> on_end);
  const std::vector<offered_work>& Works() const { return works_; }
  const std::vector<call_record>& Calls() const { return calls_; }

 private:
  struct call_plan {
    bool resend = false;
    bool audit = false;
    /// Number of further entries to try if this one is unreachable.
    int attempts_left = 1;
  };

  void Tick();
  void OfferWork();
  offered_work MakeWork();
  void Send(std::size_t work, std::size_t entry, call_plan plan);
  http_request Encode(const offered_work& work, milliseconds timeout) const;
  void OnEnd(std::size_t call, call_plan plan, const http_call_result& result);
  void Audit();

  event_loop& loop_;
  const clock_interface& clock_;
  fault_load_settings settings_;
  std::mt19937_64 random_{std::random_device{}()};
  std::vector<offered_work> works_;
  std::vector<call_record> calls_;
  std::function<void()> on_end_;
  event_handle timer_;
  steady_time start_;
  std::size_t in_flight_ = 0;  ///< calls and scheduled resubmissions
  bool audited_ = false;
};

}  // namespace almond

#endif  // ALMOND_BENCH_CHECKER_FAULT_LOAD_H_
