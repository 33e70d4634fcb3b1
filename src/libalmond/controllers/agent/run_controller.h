#ifndef ALMOND_CONTROLLERS_AGENT_RUN_CONTROLLER_H_
#define ALMOND_CONTROLLERS_AGENT_RUN_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libalmond/controllers/agent/run_progress.h"
#include "libalmond/controllers/agent/start_queue.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/decision_log.h"
#include "libalmond/core/metrics.h"
#include "libalmond/core/run_messages.h"

namespace almond {

/// Announcement of an endpoint that runs tasks under a lease.
struct leased_endpoint {
  endpoint_id id;
  service_id service;
  data_centre_id data_centre;
  std::string address;            ///< IP and port of its HTTP interface
  std::uint64_t incarnation = 0;  ///< higher after each restart
  /// Higher in each announcement of an incarnation.
  std::uint64_t sequence = 0;
  resources total;
  bool leaving = false;
  /// Time for which it remains slow after its start.
  milliseconds cold_left{0};
};

/// Answer to a start request.
enum class start_reply : std::uint8_t {
  started,     ///< the run was started, or existed already
  refused,     ///< not started
  fenced,      ///< not started: the fencing token is too low
  superseded,  ///< not started: this run or a later one is known
  unanswered   ///< no answer; the run may still be started later
};

/// Item of an endpoint's list of running tasks. The key is empty if the name
/// that the endpoint reported is not the name of a run.
struct listed_run {
  std::optional<run_key> key;
  std::optional<std::uint32_t> percent = {};  ///< progress, if reported
};

/// Item of an endpoint's list of ended runs.
struct listed_end {
  /// Assigned by the endpoint in ascending order within an incarnation.
  std::uint64_t sequence = 0;
  std::optional<run_key> key;
  run_end_kind kind = run_end_kind::lost;
};

/// Answer to a lease renewal.
struct lease_reply {
  bool fenced = false;  ///< fencing token too low; no other field is set
  std::uint64_t incarnation = 0;
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
};

/// Request to renew the lease.
struct lease_renewal {
  std::uint64_t fence = 0;
  /// The endpoint may drop ended runs up to this sequence number.
  std::uint64_t acknowledged = 0;
  std::optional<milliseconds> lease;  ///< empty: only requests the lists
  milliseconds wait{0};  ///< longest delay of the answer while no run ends
};

/// Starts, stops and monitors the runs of one endpoint. As the only holder of
/// the endpoint's lease it alone accounts for its resources: they are reserved
/// before a start is sent, and released once the endpoint lists the end of the
/// run or the run can no longer start. After a restart of the agent the state
/// is rebuilt from the endpoint's lists.
class run_controller {
 public:
  /// Duration of the lease. Short, because entries wait for its expiry before
  /// they restart the tasks of a failed agent elsewhere.
  static constexpr milliseconds kLease{700};
  /// Time for which the endpoint delays its answer to a renewal while no run
  /// ends.
  static constexpr milliseconds kRenewalWait{40};
  /// The lease is not extended if no renewal was answered for this time, so
  /// that its expiry time is known.
  static constexpr milliseconds kLeaseExtensionTimeout{400};
  /// Time after the last call that carried a lease by which all runs on the
  /// endpoint have ended: the lease measured by a clock that is 2% slow, the
  /// same inaccuracy of the clock reading that the deadline was computed from,
  /// and 50 ms to stop the runs.
  static constexpr milliseconds kLeaseExpiryTimeout{
      (kLease + kLeaseExtensionTimeout * 2 / 100) * 100 / 98 +
      milliseconds(51)};
  /// Longest lease that an endpoint grants. Applies to calls that were sent to
  /// an earlier incarnation of it, whose clock their deadlines refer to.
  static constexpr milliseconds kMaxLease{1000};
  /// As kLeaseExpiryTimeout, for a lease of kMaxLease.
  static constexpr milliseconds kMaxLeaseExpiryTimeout{kMaxLease * 102 / 100 +
                                                       milliseconds(51)};
  /// Maximum age of a start, measured by the agent's clock. Older starts are
  /// refused, because the entry may have given up on the link.
  static constexpr milliseconds kMaxStartAge{500};
  static constexpr milliseconds kTickPeriod{20};
  /// Time after which a renewal without any result is given up.
  static constexpr milliseconds kRenewalTimeout{1000};
  /// Time after which an unacknowledged stop is sent again.
  static constexpr milliseconds kStopRetryPeriod{20};
  /// Added to a fencing token that an endpoint refused. Tokens start at the
  /// wall-clock time in milliseconds, so this makes up for a clock that was set
  /// back.
  static constexpr std::uint64_t kFenceIncrement = 10'000;

  struct hooks {
    /// Sends a start request; calls back once.
    std::function<void(const leased_endpoint&, const run_start&,
                       std::uint64_t fence, milliseconds lease,
                       std::function<void(start_reply)>)>
        start;
    /// Sends a stop request; calls back once, with true if it was acknowledged.
    std::function<void(const leased_endpoint&, const run_key&,
                       std::uint64_t fence, std::function<void(bool)>)>
        stop;
    /// Renews the lease; calls back once, without a value if there is no
    /// answer.
    std::function<void(const leased_endpoint&, const lease_renewal&,
                       std::function<void(const std::optional<lease_reply>&)>)>
        renew;
    /// Notifies an entry of the end of a run.
    std::function<void(link_id, const run_end&)> on_end;
    /// Called after a change of the unused resources or of `accepting`; may be
    /// empty.
    std::function<void()> on_change;
  };

  /// @param clock source of time; outlives the controller
  /// @param fence first fencing token; higher than those of earlier
  ///   incarnations of this agent
  run_controller(const clock_interface& clock, decision_log& log,
                 metrics_registry& metrics, std::uint64_t fence,
                 hooks callbacks);

  /// Handles an announcement of the endpoint. Ignored if it is from an older
  /// incarnation, or not newer than the last one of the same incarnation.
  void OnAnnouncement(const leased_endpoint& announced);
  /// Handles a departure message of the endpoint, which may be a late one of an
  /// earlier incarnation. Its runs are kept while it answers, or until their
  /// lease has expired.
  void OnDeparture();
  /// Starts a run, queues it for free resources, or refuses it as not run.
  void Start(link_id link, const run_start& start);
  void Stop(link_id link, const run_key& key);
  /// Refuses a start as not run if it is still queued; does nothing otherwise.
  void Withdraw(link_id link, const run_key& key);
  /// Stops the runs that were started over a closed link.
  void OnLinkClosed(link_id link);
  /// Refuses all further starts.
  void StopAccepting() { draining_ = true; }
  /// While the endpoint's data centre is evacuated, starts are refused, also
  /// those that are queued; runs continue to their end.
  void SetEvacuated(bool evacuated);
  /// Called every kTickPeriod.
  void Tick();

  /// @returns the state for entries, without `orders_seen`
  endpoint_state State() const;
  const leased_endpoint& Endpoint() const { return endpoint_; }
  std::size_t Runs() const { return runs_.size(); }
  /// @returns true if runs or queued starts of this link are not over
  bool HasRuns(link_id link) const;

 private:
  enum class phase : std::uint8_t { starting, running, stopping };
  struct active_run {
    link_id link;
    resources needed;
    phase state = phase::starting;
    steady_time start_sent;
    run_progress progress;
    /// Incarnation of the endpoint that the start was sent to. If the endpoint
    /// restarted meanwhile, the new incarnation may have received the start.
    std::uint64_t incarnation = 0;
    std::uint64_t fence = 0;      ///< fencing token of the start
    bool start_answered = false;  ///< the endpoint answered that it runs
    /// The current incarnation listed the run as running.
    bool listed = false;
    bool stop_in_flight = false;
    steady_time stop_sent = {};
    /// Time at which the endpoint acknowledged the stop.
    std::optional<steady_time> stop_acknowledged = {};
  };

  /// A renewal whose answer is expected.
  struct sent_renewal {
    steady_time at;
    std::uint64_t fence = 0;
  };

  bool Accepting() const;
  const char* Refusal(const run_start& start) const;
  void Refuse(link_id link, const run_start& start, const char* cause);
  void SendStart(link_id link, const run_start& start);
  void Enqueue(link_id link, const run_start& start);
  void StartQueued();
  void RefuseAll(const std::vector<queued_start>& starts, const char* cause);
  void RefuseQueued(const char* cause);
  resources Unused() const;
  void OnStartReply(const run_key& key, start_reply reply);
  void OnRenewal(const sent_renewal& sent,
                 const std::optional<lease_reply>& reply);
  void ProcessEnded(const lease_reply& reply);
  void ProcessRunning(const sent_renewal& sent, const lease_reply& reply);
  void EndAbsentRuns(const sent_renewal& sent, const std::set<run_key>& listed);
  void BeginStop(const run_key& key);
  void SendStop(const run_key& key);
  void StopForeignRun(const run_key& key);
  void StopStalledRuns();
  void End(const run_key& key, run_end_kind kind);
  void LoseAllRuns(const char* cause);
  /// Ends the runs that were listed by the former incarnation. The others are
  /// kept until the new one has listed its runs under a higher fencing token.
  void OnRestart(const char* cause);
  /// Ignores the callbacks of all calls in progress, and makes the endpoint
  /// refuse those that arrive late.
  void InvalidateCalls();
  void LogLoss(const char* cause);
  /// @returns the time by which all runs on the endpoint have ended, if it does
  ///   not answer
  steady_time LeaseExpiry() const;
  void LogLostRun(const run_key& key, const active_run& run);
  void Renew();
  void NotifyChange();

  const clock_interface& clock_;
  decision_log& log_;
  hooks hooks_;
  leased_endpoint endpoint_;
  steady_time cold_until_;
  bool present_ = false;
  /// The current incarnation has announced itself; otherwise endpoint_ holds
  /// the resources and the state of the former one.
  bool announced_ = false;
  bool draining_ = false;
  bool evacuated_ = false;
  std::uint64_t fence_;
  /// Rises whenever the endpoint is lost or has restarted; callbacks of an
  /// older epoch are ignored.
  std::uint64_t epoch_ = 0;
  /// The endpoint accepted fence_ and has then listed no unknown run. Until
  /// then no call extends the lease, since an unknown run may have been started
  /// again elsewhere.
  bool lease_established_ = false;
  /// The last list had runs that this agent incarnation did not start.
  bool foreign_runs_listed_ = false;
  std::uint64_t last_acknowledged_end_ = 0;
  bool renewal_in_flight_ = false;
  steady_time renewal_sent_;  ///< time at which the last renewal was sent
  /// The last renewal was not answered, so the endpoint may have restarted.
  bool renewal_lost_ = false;
  /// Time at which the last answered renewal was sent.
  steady_time last_answered_renewal_;
  /// Times at which the last renewal with a lease and the last start were sent.
  /// Both extend the lease of everything that runs on the endpoint.
  steady_time last_lease_renewal_;
  steady_time last_start_sent_;
  /// Set until the new incarnation has listed its runs.
  std::optional<steady_time> restart_detected_;
  resources used_;
  std::map<run_key, active_run> runs_;
  start_queue queue_;
  std::set<run_key> stopping_foreign_;
  counter& starts_;
  counter& refused_;
  counter& unanswered_;
  counter& endpoint_losses_;
  counter& stalled_runs_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_RUN_CONTROLLER_H_
