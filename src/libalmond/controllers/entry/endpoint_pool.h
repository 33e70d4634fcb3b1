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
#include "libalmond/core/evacuations.h"
#include "libalmond/core/run_messages.h"

namespace almond {

/// An endpoint, identified together with the agent connection it is reached
/// over.
struct endpoint_key {
  link_id link;
  endpoint_id endpoint;

  auto operator<=>(const endpoint_key&) const = default;
};

/// Requirements of a task that is to be placed.
struct placement_request {
  service_id service;
  resources needed;
  milliseconds estimate{0};
  std::uint32_t priority = 0;  ///< of the route; 0 is the highest
  /// Endpoints at which the task has failed; used only if no other one
  /// qualifies.
  std::vector<endpoint_id> failed_at;
};

/// The endpoints known to an entry, with their free resources and their
/// measured speed and failures. Tuned for short parallel jobs, which take as
/// long as their slowest task: a task goes to the endpoint that is expected to
/// finish it first.
class endpoint_pool {
 public:
  /// Weight of the newest run in the measured slowness and failure rate.
  static constexpr double kSlownessWeight = 0.12;
  static constexpr double kFailureWeight = 0.25;
  /// An endpoint with a higher failure rate is avoided: it gets only single
  /// probe runs.
  static constexpr double kMaxFailureRatio = 0.45;
  /// A run is overdue once it has taken this multiple of its estimate.
  static constexpr double kOverdueFactor = 2.5;
  /// An endpoint also gets only probe runs if it has at least kMinOverdue
  /// overdue runs and they exceed the share kMaxOverdueRatio of its runs.
  static constexpr std::size_t kMinOverdue = 2;
  static constexpr double kMaxOverdueRatio = 0.5;
  /// Run time at an endpoint that has started shortly before, as a multiple of
  /// its later run time; replaced by what is measured.
  static constexpr double kInitialColdFactor = 1.5;
  /// Limit of the share of a service's endpoints that are avoided. If more of
  /// them look faulty, the work is the more likely cause.
  static constexpr double kMaxAvoidedRatio = 0.5;
  /// Time between two probe runs at an avoided endpoint.
  static constexpr milliseconds kProbePeriod{500};
  /// Expected round-trip time of a message to another data centre.
  static constexpr milliseconds kRemoteRoundTrip{3};
  /// Time in which all resources of a busy endpoint become free once, for tasks
  /// of usual length.
  static constexpr milliseconds kTurnoverTime{150};
  /// Random variation of the expected time, as a ratio; keeps entries with the
  /// same knowledge from all choosing the same endpoint.
  static constexpr double kJitterRatio = 0.08;

  /// @param clock source of time; outlives the pool
  /// @param random source of jitter; outlives the pool
  endpoint_pool(const clock_interface& clock, std::mt19937_64& random,
                data_centre_id own_data_centre);

  void Update(link_id link, const endpoint_state& state);
  void RemoveLink(link_id link);
  /// Excludes the endpoints of evacuated data centres, whatever their agents
  /// report.
  void SetEvacuations(const evacuation_list& list) { evacuations_ = list; }
  /// @returns true if the endpoint's data centre is evacuated
  bool IsEvacuated(const endpoint_key& key) const;

  /// @returns the best endpoint with enough free resources, or nothing
  std::optional<endpoint_key> ChooseEndpoint(const placement_request& request);
  /// @returns the best endpoint whose agent may queue the start until resources
  ///   are free, or nothing
  std::optional<endpoint_key> ChooseWaitingPlace(
      const placement_request& request);
  /// Reserves the resources of a run that is about to be ordered.
  /// @returns the sequence number of the order on its link, and the newest
  ///   timestamp received from the agent, to be sent with the order
  std::pair<std::uint64_t, agent_timestamp> RecordPlacement(
      const endpoint_key& key, const run_key& run, const resources& needed,
      milliseconds estimate);
  void OnRunEnd(const endpoint_key& key, const run_end& end);
  /// Counts a run that its agent stopped because of the endpoint.
  void RecordFault(const endpoint_key& key);

  /// @returns true if an endpoint of the service would be large enough when
  ///   idle
  bool FitsWhenIdle(const service_id& service, const resources& needed) const;
  /// @returns true if an endpoint of the service would be large enough when
  ///   idle and its data centre is not evacuated
  bool FitsOutsideEvacuated(const service_id& service,
                            const resources& needed) const;
  /// @returns true if the service has an accepting endpoint
  bool HasEndpoint(const service_id& service) const;
  /// @returns CPU of all accepting endpoints of the service, in thousandths of
  ///   a core
  std::int64_t TotalCpu(const service_id& service) const;
  /// @returns unused CPU of all accepting endpoints of the service, in
  ///   thousandths of a core
  std::int64_t UnusedCpu(const service_id& service) const;
  std::size_t size() const { return endpoints_.size(); }

 private:
  struct placed_run {
    steady_time placed;
    milliseconds estimate{0};
    bool cold = false;  ///< placed while the endpoint was cold
  };
  struct sent_order {
    std::uint64_t order = 0;
    resources needed;
  };
  struct endpoint_record {
    endpoint_state state;
    std::deque<sent_order> unreported;  ///< not covered by `state` yet
    double slowness = 1;  ///< run time as a multiple of the estimate
    double failure_rate = 0;
    std::optional<steady_time> last_probe;
    steady_time cold_until;
    std::map<run_key, placed_run> runs;
  };

  std::optional<endpoint_key> ChooseBest(const placement_request& request,
                                         bool may_wait);
  /// @returns true if tasks may be placed at the endpoint
  bool Accepts(const endpoint_record& endpoint) const {
    return endpoint.state.accepting &&
           !evacuations_.Contains(endpoint.state.data_centre);
  }
  bool IsCold(const endpoint_record& endpoint) const {
    return clock_.SteadyNow() < endpoint.cold_until;
  }
  resources UnusedResources(const endpoint_record& endpoint) const;
  /// @returns true if a start may queue at the endpoint's agent
  bool MayQueueAt(const endpoint_record& endpoint,
                  const placement_request& request) const;
  bool IsSuspect(const endpoint_record& endpoint) const;
  /// @returns true if few enough of the service's endpoints are suspect to
  ///   avoid them
  bool MayAvoidSuspects(const service_id& service) const;
  double ExpectedTime(const endpoint_record& endpoint,
                      const placement_request& request) const;

  const clock_interface& clock_;
  std::mt19937_64& random_;
  data_centre_id own_data_centre_;
  evacuation_list evacuations_;
  std::map<endpoint_key, endpoint_record> endpoints_;
  std::map<link_id, std::uint64_t> last_order_;
  double cold_factor_ = kInitialColdFactor;
  /// Measured slowness, kept when the links to an endpoint end.
  std::map<endpoint_id, double> slowness_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_ENDPOINT_POOL_H_
