#ifndef ALMOND_CONTROLLERS_AGENT_RUN_CONTROLLER_H_
#define ALMOND_CONTROLLERS_AGENT_RUN_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "libalmond/controllers/agent/run_progress.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/decision_log.h"
#include "libalmond/core/metrics.h"
#include "libalmond/core/run_messages.h"

namespace almond {

/// An endpoint that runs tasks under a lease, as it announces itself.
struct leased_endpoint {
  endpoint_id id;
  service_id service;
  data_centre_id data_centre;
  std::string address;            ///< IP and port of its interface
  std::uint64_t incarnation = 0;  ///< rises with each start of the endpoint
  /// Rises with each announcement in an incarnation.
  std::uint64_t sequence = 0;
  resources total;
  bool leaving = false;
};

/// Answer to a start order.
enum class start_reply : std::uint8_t {
  started,     ///< also if that run was there already
  refused,     ///< nothing was started
  fenced,      ///< nothing was started: the fencing token is too low
  superseded,  ///< nothing was started: this run or a higher one is known
  unanswered   ///< may still be carried out
};

/// One entry of an endpoint's list of what runs. No key if the endpoint named
/// something that is not a run.
struct listed_run {
  std::optional<run_key> key;
  std::optional<std::uint32_t> percent = {};  ///< of the work; if it is told
};

/// One entry of an endpoint's list of what has ended.
struct listed_end {
  /// Counted by the endpoint within its incarnation.
  std::uint64_t sequence = 0;
  std::optional<run_key> key;
  run_end_kind kind = run_end_kind::lost;
};

/// Answer to a renewal of the lease.
struct lease_reply {
  bool fenced = false;  ///< the fencing token is too low; the rest is not set
  std::uint64_t incarnation = 0;
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
};

/// A renewal of the lease.
struct lease_renewal {
  std::uint64_t fence = 0;
  std::uint64_t acknowledged = 0;     ///< ends up to here may be forgotten
  std::optional<milliseconds> lease;  ///< none only asks for the lists
  milliseconds wait{0};  ///< longest time that the answer waits for an end
};

/// Starts, stops and watches the runs of one endpoint. The only holder of its
/// lease, so the only place where its room is accounted: room is taken before a
/// start is sent, and is free again once the end is listed or the run can never
/// begin. Everything is rebuilt from the endpoint's own lists after a restart.
class run_controller {
 public:
  /// Length of the lease. Short, since after the agent's death the entries wait
  /// for its end before they start the tasks elsewhere.
  static constexpr milliseconds kLease{700};
  /// Time that a renewal waits at the endpoint for an end.
  static constexpr milliseconds kRenewalWait{40};
  /// Without an answer for so long the lease is no longer extended, so that it
  /// runs out at a known time.
  static constexpr milliseconds kSilenceLimit{400};
  /// By this time after the last extension everything on the endpoint has
  /// ended: the lease on a clock 2% slow, and 50 ms for the stop.
  static constexpr milliseconds kAllEnded{kLease * 102 / 100 +
                                          milliseconds(51)};
  /// A start that was sent longer ago by the agent's clock is refused; its
  /// entry may have given the link up.
  static constexpr milliseconds kMaxOrderAge{500};
  static constexpr milliseconds kTickPeriod{20};
  /// A renewal that was not even answered as lost by now is forgotten.
  static constexpr milliseconds kRenewalLost{1000};
  /// An order that has waited for room so long goes back to its entry, which
  /// withdraws it earlier if it knows a better place.
  static constexpr milliseconds kMaxWait{150};
  /// Starts that wait at a time. One keeps the room in use while the entries
  /// learn of an end. Each further one waits for another end, bound to this
  /// endpoint, while its objective passes; a second one covers two entries that
  /// order at the same time.
  static constexpr std::size_t kMaxWaiting = 2;
  /// An unanswered stop is sent again after this time.
  static constexpr milliseconds kStopRetry{20};
  /// Step by which a fencing token is raised that an endpoint refused. The
  /// tokens are milliseconds of the calendar, so this covers a clock that
  /// jumped back.
  static constexpr std::uint64_t kFenceStep = 10'000;

  struct hooks {
    /// Sends a start order; calls back once.
    std::function<void(const leased_endpoint&, const run_start&,
                       std::uint64_t fence, milliseconds lease,
                       std::function<void(start_reply)>)>
        start;
    /// Sends a stop order; calls back once, with true if it was acknowledged.
    std::function<void(const leased_endpoint&, const run_key&,
                       std::uint64_t fence, std::function<void(bool)>)>
        stop;
    /// Renews the lease; calls back once, with nothing if no answer came.
    std::function<void(const leased_endpoint&, const lease_renewal&,
                       std::function<void(const std::optional<lease_reply>&)>)>
        renew;
    /// Tells an entry that a run has ended.
    std::function<void(link_id, const run_end&)> on_end;
    /// Called after a change of the unused room or of `accepting`.
    std::function<void()> on_change;
  };

  /// @param clock source of time; outlives the controller
  /// @param fence first fencing token; higher than those of earlier lives
  run_controller(const clock_interface& clock, decision_log& log,
                 metrics_registry& metrics, std::uint64_t fence,
                 hooks callbacks);

  /// Takes an announcement of the endpoint. One of an older incarnation,
  /// or older within an incarnation, is ignored.
  void OnAnnouncement(const leased_endpoint& announced);
  /// The endpoint has said that it is gone.
  void OnDeparture();
  /// Starts a run, lets it wait for room, or answers that it was not run.
  void Start(link_id link, const run_start& start);
  void Stop(link_id link, const run_key& key);
  /// Gives an order back that still waits for room.
  void Withdraw(link_id link, const run_key& key);
  /// Stops what the entry of an ended link has started.
  void OnLinkClosed(link_id link);
  /// Accepts no further starts.
  void StopAccepting() { agent_leaving_ = true; }
  /// To be called each kTickPeriod.
  void Tick();

  /// @returns the state for entries, without `orders_seen`
  endpoint_state State() const;
  const leased_endpoint& Endpoint() const { return endpoint_; }
  std::size_t Runs() const { return runs_.size(); }

 private:
  enum class phase : std::uint8_t { starting, running, stopping };
  struct active_run {
    link_id link;
    resources needed;
    phase state = phase::starting;
    steady_time ordered;
    run_progress progress;
    bool stop_in_flight = false;
    steady_time stop_sent = {};
    /// When the endpoint acknowledged the stop.
    std::optional<steady_time> stop_acknowledged = {};
  };

  /// An order that waits for room.
  struct waiting_order {
    link_id link;
    run_start start;
    steady_time arrived;
    /// Orders of jobs that have begun come first, then those that can still
    /// meet their objective, then the others; each by the time at which they
    /// have to begin.
    auto Rank(steady_time now) const {
      const steady_time latest = arrived + start.slack;
      return std::tuple(start.priority, !start.job_started,
                        !start.job_started && latest < now, latest);
    }
  };

  bool Accepting() const;
  const char* Refusal(const run_start& start) const;
  void Refuse(link_id link, const run_start& start, const char* cause);
  void Order(link_id link, const run_start& start);
  void Wait(link_id link, const run_start& start);
  void SortWaiting();
  void StartWaiting();
  void RefuseWaiting(const char* cause);
  resources Unused() const;
  void OnStartReply(const run_key& key, start_reply reply);
  void OnRenewal(steady_time sent, const std::optional<lease_reply>& reply);
  void TakeEnds(const lease_reply& reply);
  void TakeRunning(steady_time sent, const lease_reply& reply);
  void BeginStop(const run_key& key);
  void SendStop(const run_key& key);
  void StopForeign(const run_key& key);
  void StopStandingStill();
  void End(const run_key& key, run_end_kind kind);
  void LoseAll(const char* cause);
  void Renew();
  void Changed();

  const clock_interface& clock_;
  decision_log& log_;
  hooks hooks_;
  leased_endpoint endpoint_;
  bool present_ = false;
  bool agent_leaving_ = false;
  std::uint64_t fence_;
  /// Changes with each endpoint incarnation and each loss.
  std::uint64_t epoch_ = 0;
  bool established_ = false;  ///< the endpoint has seen the present fence
  bool foreign_ = false;      ///< runs that this agent did not start are listed
  std::uint64_t acknowledged_ = 0;
  bool renewal_in_flight_ = false;
  steady_time renewed_;   ///< when the last renewal was sent
  steady_time answered_;  ///< when the last answered renewal was sent
  steady_time extended_;  ///< when the lease was last extended
  resources used_;
  std::map<run_key, active_run> runs_;
  std::vector<waiting_order> waiting_;
  std::int64_t waiting_cpu_milli_ = 0;
  std::set<run_key> stopping_foreign_;
  counter& starts_;
  counter& refused_;
  counter& unanswered_;
  counter& losses_;
  counter& standing_still_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_RUN_CONTROLLER_H_
