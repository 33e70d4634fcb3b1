#ifndef ALMOND_PROCESSES_CONTROL_CLIENT_H_
#define ALMOND_PROCESSES_CONTROL_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/control_messages.h"
#include "libalmond/core/frame.h"
#include "libalmond/core/metrics.h"
#include "libalmond/core/socket_address.h"

namespace almond {

/// Intervals and timeouts of a control client.
struct control_client_timing {
  milliseconds heartbeat_period{1000};
  /// Time without any reply after which the client dials the next control
  /// process.
  milliseconds reply_timeout{1500};
  /// Delay before the next heartbeat to a control process that knows no
  /// leader, as during an election.
  milliseconds leaderless_retry_delay{500};
};

/// Client side of the control protocol, in entries and agents: finds and
/// follows the leader, sends heartbeats, and resends requests until they are
/// answered or time out. Keeps one connection at a time, because thousands of
/// processes connect to a few control processes.
class control_client {
 public:
  static constexpr milliseconds kTickPeriod{25};
  /// Time after which an unanswered request is sent again.
  static constexpr milliseconds kResendPeriod{500};
  static constexpr milliseconds kReplyTimeout =
      control_client_timing().reply_timeout;
  static constexpr milliseconds kLeaderlessRetryDelay =
      control_client_timing().leaderless_retry_delay;
  /// Time after which the client gives up a connection attempt and dials the
  /// next address.
  static constexpr milliseconds kConnectTimeout{500};
  /// The same for the first kFastDials attempts since the last reply of a
  /// leader. A machine without power refuses no connection, and others may
  /// already serve.
  static constexpr milliseconds kFastConnectTimeout{100};
  /// Time after which an unanswered fetch of the configuration is repeated on
  /// the same connection. A large configuration takes longer than a heartbeat
  /// period on a slow link, and each repetition would delay it further.
  static constexpr milliseconds kConfigFetchTimeout{5000};
  /// Minimum time between dials. Limits the dial rate while the control
  /// processes name different leaders and redirect the client in a circle.
  static constexpr milliseconds kMinRedialPeriod{100};
  /// Minimum time between the first kFastDials dials since the last reply of a
  /// leader.
  static constexpr milliseconds kFastRedialPeriod{25};
  static constexpr std::size_t kFastDials = 8;
  /// Number of heartbeats refused without a leader's address after which the
  /// client dials the next control process: this one may be partitioned from
  /// the others.
  static constexpr int kLeaderlessReplyLimit = 2;
  /// Time for which a claim is pursued after its own timeout, see Claim.
  static constexpr milliseconds kAbandonedClaimTimeout{15000};
  static constexpr std::size_t kAbandonedClaimLimit = 1000;

  struct hooks {
    /// Closes the current connection and dials this address. Later calls of
    /// OnConnected, OnFrame and OnClosed refer to the new connection.
    std::function<void(const socket_address&)> dial;
    /// Sends a frame over the current connection.
    std::function<void(const frame&)> send;
    /// @returns this process's heartbeat with its active configuration version
    std::function<heartbeat_message()> heartbeat;
    /// Called with the live entries at each heartbeat reply.
    std::function<void(const std::vector<entry_address>&)> on_entries;
    /// Called with each submission that this entry has to finish for its failed
    /// owner; repeated with each heartbeat reply until the ledger has its end.
    std::function<void(const ledger_record&)> on_takeover;
    /// Called with the newest configuration version of each heartbeat reply.
    std::function<void(config_version)> on_newest;
    /// Called with a configuration from the leader; without this hook the
    /// client fetches none.
    std::function<void(config_version, const std::string&)> on_config;
    /// Called before on_entries with the number of live agents that have
    /// endpoints of the same kind, or 0 if unknown; may be empty.
    std::function<void(std::uint32_t)> on_alike_agents = {};
    /// Called before on_entries with the evacuated data centres of each
    /// heartbeat reply, which may be older than known ones; may be empty.
    std::function<void(const evacuation_list&)> on_evacuations = {};
  };
  /// Called once with the reply, or with nothing after the timeout.
  template <typename Reply>
  using answer_hook = std::function<void(const std::optional<Reply>&)>;

  /// @param clock source of time; outlives the client
  /// @param metrics receives almond_control_client_* metrics; outlives it
  /// @param addresses of the control processes, at least one
  /// @param callbacks see hooks; all except `on_config` are required
  control_client(const clock_interface& clock, metrics_registry& metrics,
                 std::vector<socket_address> addresses, hooks callbacks,
                 control_client_timing timing = {});

  /// A claim that timed out may still reach the ledger. The caller must not
  /// start the submission then. The client pursues the claim and finishes the
  /// submission as `ledger-unavailable`, "not-run", so that the ledger does not
  /// keep it as running.
  /// @param timeout maximum time until `on_answer` is called
  void Claim(const ledger_claim_message& claim, milliseconds timeout,
             answer_hook<ledger_claim_reply_message> on_answer);
  void Finish(const ledger_finish_message& finish, milliseconds timeout,
              answer_hook<ledger_finish_reply_message> on_answer);
  void Read(const ledger_read_message& read, milliseconds timeout,
            answer_hook<ledger_read_reply_message> on_answer);
  /// Sends a heartbeat now, to report a change before the next period, such as
  /// the start of draining.
  void SendHeartbeat();

  /// Call every kTickPeriod.
  void Tick();
  /// Call when the dialled connection is open.
  void OnConnected();
  /// Call for each frame of the dialled connection.
  void OnFrame(const frame& encoded);
  /// Call when the dialled connection is closed.
  void OnClosed();
  /// Call when the dialled address has refused the connection.
  void OnConnectFailed();

  /// Replaces the addresses of the control processes.
  /// @param addresses at least one
  void SetAddresses(std::vector<socket_address> addresses);

  /// @returns true if the leader replied within the reply timeout
  bool LeaderReachable() const;

 private:
  struct open_request {
    control_request body;
    steady_time deadline;
    steady_time last_sent;
    std::function<void(const control_reply*)> on_answer;
  };

  template <typename Reply>
  void OpenRequest(control_request body, milliseconds timeout,
                   answer_hook<Reply> on_answer);
  void SendRequest(open_request& request, std::uint64_t number);
  void CompleteRequest(std::uint64_t number, const control_reply* reply);
  void ExpireRequests();
  void SendOpenRequests(duration age);
  void PursueAbandonedClaim(const ledger_claim_message& claim);
  void OnNotLeader(std::uint64_t number, const not_leader_message& message);
  void OnHeartbeatReply(const heartbeat_reply_message& reply);
  void ReportEntries(const heartbeat_reply_message& reply);
  void FetchConfig();
  void OnConfigReply(const fetch_config_reply_message& reply);
  void ScheduleRedial(std::optional<socket_address> address);
  milliseconds ConnectTimeout() const;
  milliseconds RedialPeriod() const;
  void Dial();

  const clock_interface& clock_;
  std::vector<socket_address> addresses_;
  hooks hooks_;
  control_client_timing timing_;
  socket_address target_;
  std::size_t next_address_ = 0;
  bool has_dialled_ = false;
  bool connected_ = false;
  bool leader_confirmed_ =
      false;  // a heartbeat was answered on this connection
  int leaderless_replies_ = 0;
  /// Number of dials since the last heartbeat that a leader answered.
  std::size_t dials_ = 0;
  std::size_t abandoned_claims_ = 0;
  std::optional<socket_address> redirect_;
  bool redial_pending_ = false;
  steady_time dialled_at_;
  steady_time last_reply_;
  steady_time last_heartbeat_;
  std::optional<steady_time> last_leader_reply_;
  std::vector<entry_address> entries_;  ///< live entries
  std::uint64_t entries_digest_ = 0;    ///< of `entries_`, 0 if unknown
  std::uint64_t last_number_ = 0;
  /// Number of the unanswered fetch of the configuration on this connection.
  std::optional<std::uint64_t> config_fetch_;
  steady_time config_fetch_sent_;
  std::map<std::uint64_t, open_request> open_requests_;
  counter& resends_;
  counter& unavailable_;
  counter& redials_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_CONTROL_CLIENT_H_
