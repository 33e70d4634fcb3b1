#ifndef ALMOND_CONTROLLERS_ENTRY_ENDPOINT_POOL_H_
#define ALMOND_CONTROLLERS_ENTRY_ENDPOINT_POOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/run_messages.h"

namespace almond {

/// An endpoint as reached over one agent's link.
struct endpoint_key {
  link_id link;
  endpoint_id endpoint;

  auto operator<=>(const endpoint_key&) const = default;
};

/// What a placement asks for.
struct placement_request {
  service_id service;
  resources needed;
  milliseconds estimate{0};
  std::uint32_t priority = 0;  ///< of the route; 0 comes first
  /// Endpoints at which the task has failed before; avoided while others are
  /// there.
  std::vector<endpoint_id> failed_at;
};

/// The endpoints that an entry knows, their room, and what it has learnt of
/// their speed and faults. Answers a load of short parallel jobs, whose time is
/// that of their slowest task: a task goes to the endpoint that is expected to
/// end it first.
class endpoint_pool {
 public:
  /// Weight of the newest run in the learnt slowness and failure share.
  static constexpr double kSlownessWeight = 0.12;
  static constexpr double kFailureWeight = 0.25;
  /// An endpoint whose failure share is above this gets only single probes.
  static constexpr double kMaxFailureShare = 0.45;
  /// A run that has taken so many times its estimate is overdue.
  static constexpr double kOverdueFactor = 2.5;
  /// Overdue runs and share of the runs from which an endpoint gets no more.
  static constexpr std::size_t kMinOverdue = 2;
  static constexpr double kMaxOverdueShare = 0.5;
  /// Share of a service's endpoints that are avoided at most; if more of them
  /// look bad, the cause is more likely the work.
  static constexpr double kMaxAvoidedShare = 0.5;
  /// Time between two single runs at an endpoint that is avoided.
  static constexpr milliseconds kProbePeriod{500};
  /// Expected time of a message to another data centre and back.
  static constexpr milliseconds kRemoteTime{3};
  /// Time in which all room of a busy endpoint becomes free once, for tasks of
  /// the usual length.
  static constexpr milliseconds kTurnover{150};
  /// Relative random part of the expected time, so that entries that know the
  /// same do not all choose the same endpoint.
  static constexpr double kJitter = 0.08;

  /// @param clock source of time; outlives the pool
  /// @param random source of jitter; outlives the pool
  endpoint_pool(const clock_interface& clock, std::mt19937_64& random,
                data_centre_id own);

  void Update(link_id link, const endpoint_state& state);
  void RemoveLink(link_id link);

  /// @returns the best endpoint with room, or nothing
  std::optional<endpoint_key> Choose(const placement_request& request);
  /// @returns the best endpoint at whose agent an order may wait, or nothing
  std::optional<endpoint_key> ChooseToWait(const placement_request& request);
  /// Takes the room of a run that is about to be ordered.
  /// @returns the number of the order on its link, and the timestamp to send
  std::pair<std::uint64_t, agent_timestamp> Place(const endpoint_key& key,
                                                  const run_key& run,
                                                  const resources& needed,
                                                  milliseconds estimate);
  void Ended(const endpoint_key& key, const run_end& end);
  /// Takes note of a run that its agent stopped for the endpoint's fault.
  void CountFault(const endpoint_key& key);

  /// @returns true if an endpoint of the service could hold it when empty
  bool CouldHold(const service_id& service, const resources& needed) const;
  /// @returns true if there is an endpoint of the service
  bool Serves(const service_id& service) const;
  /// @returns processors of all accepting endpoints of the service
  std::int64_t TotalCpu(const service_id& service) const;
  /// @returns unused processors of all accepting endpoints of the service
  std::int64_t UnusedCpu(const service_id& service) const;
  std::size_t size() const { return endpoints_.size(); }

 private:
  struct placed_run {
    steady_time placed;
    milliseconds estimate{0};
  };
  struct sent_order {
    std::uint64_t order = 0;
    resources needed;
  };
  struct record {
    endpoint_state state;
    std::deque<sent_order> unseen;  ///< orders that the state does not cover
    double slowness = 1;            ///< run time as a multiple of the estimate
    double failures = 0;
    std::optional<steady_time> probed;
    std::map<run_key, placed_run> runs;
  };

  std::optional<endpoint_key> ChooseWithin(const placement_request& request,
                                           bool may_wait);
  resources Unused(const record& endpoint) const;
  /// @returns true if an order may wait for room at the endpoint's agent
  bool MayWait(const record& endpoint, const placement_request& request) const;
  bool Suspect(const record& endpoint) const;
  /// @returns true if few enough endpoints of the service are suspect
  bool AvoidsSuspects(const service_id& service) const;
  double ExpectedTime(const record& endpoint,
                      const placement_request& request) const;

  const clock_interface& clock_;
  std::mt19937_64& random_;
  data_centre_id own_;
  std::map<endpoint_key, record> endpoints_;
  std::map<link_id, std::uint64_t> orders_;
  /// Learnt slowness outlives the links to an endpoint.
  std::map<endpoint_id, double> slowness_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_ENDPOINT_POOL_H_
