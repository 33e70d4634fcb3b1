#ifndef ALMOND_BENCH_POLICY_RETRY_CLIENT_H_
#define ALMOND_BENCH_POLICY_RETRY_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bench/policy/retry_fleet.h"

namespace almond::bench {

/// A retry policy.
struct retry_variant {
  std::string name;
  std::uint32_t attempts = 1;  ///< attempts of the entry, including the first
  bool uses_product_retries = false;  ///< retries by request_controller
  bool backoff = false;               ///< exponential with full jitter
  /// Multiplies the backoff delay by 4 above 50% failed attempts.
  bool adaptive = false;
  bool budget = false;  ///< retries limited by retry_budget
  /// Time for which the circuit breaker stays open; 0 for no circuit breaker.
  milliseconds breaker{0};
  /// Maximum number of sends of one request by the client, each to any entry.
  std::uint32_t client_sends = 1;
};

/// Sends requests through a fleet and retries them by a policy.
class retry_client {
 public:
  using end_hook = std::function<void(bool)>;

  retry_client(retry_fleet& fleet, retry_variant variant)
      : fleet_(fleet),
        variant_(std::move(variant)),
        entries_(fleet.Entries()) {}

  /// @param on_end called once with true if the answer is 200
  void Send(const std::string& body, steady_time deadline, end_hook on_end);

 private:
  /// Consecutive failures after which the circuit breaker opens.
  static constexpr std::uint32_t kBreakerFailureLimit = 10;

  struct entry_state {
    retry_budget budget;
    double failure_ratio = 0;  ///< decayed share of failed attempts
    std::uint32_t failures = 0;
    std::optional<steady_time> open_until;
    bool half_open = false;
  };
  struct request {
    std::string body;
    steady_time deadline;
    std::size_t entry = 0;
    std::uint32_t attempt = 1;
    std::uint32_t send = 1;
    end_hook on_end;
  };

  void SendToEntry(request sent);
  bool BreakerRefuses(entry_state& entry);
  void RecordBreaker(entry_state& entry, bool success);
  void Attempt(const request& sent, const agent_id& avoid);
  void OnAnswer(request sent, const job_result& answer);
  bool MayRetry(const request& sent, const job_failure& failed);
  duration Delay(const request& sent);
  void EndAtEntry(const request& sent, bool success);
  void EndAtClient(request sent, bool success);

  retry_fleet& fleet_;
  retry_variant variant_;
  std::vector<entry_state> entries_;
};

}  // namespace almond::bench

#endif  // ALMOND_BENCH_POLICY_RETRY_CLIENT_H_
