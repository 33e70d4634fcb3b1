#include "libalmond/processes/control_client.h"

#include <utility>

#include "libalmond/core/logging.h"
#include "libalmond/wire/control_codec.h"

namespace almond {

control_client::control_client(const clock_interface& clock,
                               metrics_registry& metrics,
                               std::vector<socket_address> addresses,
                               hooks callbacks, control_client_timing timing)
    : clock_(clock),
      addresses_(std::move(addresses)),
      hooks_(std::move(callbacks)),
      timing_(timing),
      resends_(metrics.Counter("almond_control_client_resends_total")),
      unavailable_(metrics.Counter("almond_control_client_unavailable_total")),
      redials_(metrics.Counter("almond_control_client_moves_total")) {}

void control_client::Claim(const ledger_claim_message& claim,
                           milliseconds timeout,
                           answer_hook<ledger_claim_reply_message> on_answer) {
  OpenRequest<ledger_claim_reply_message>(
      claim, timeout,
      [this, claim, on_answer = std::move(on_answer)](
          const std::optional<ledger_claim_reply_message>& reply) {
        if (!reply) PursueAbandonedClaim(claim);
        on_answer(reply);
      });
}

void control_client::Finish(
    const ledger_finish_message& finish, milliseconds timeout,
    answer_hook<ledger_finish_reply_message> on_answer) {
  OpenRequest(finish, timeout, std::move(on_answer));
}

void control_client::Read(const ledger_read_message& read, milliseconds timeout,
                          answer_hook<ledger_read_reply_message> on_answer) {
  OpenRequest(read, timeout, std::move(on_answer));
}

void control_client::SendHeartbeat() {
  last_heartbeat_ = clock_.SteadyNow();
  if (!connected_) return;
  heartbeat_message heartbeat = hooks_.heartbeat();
  heartbeat.entries_digest = entries_digest_;
  hooks_.send(EncodeControlRequest(++last_number_, std::move(heartbeat)));
}

void control_client::Tick() {
  const steady_time now = clock_.SteadyNow();
  if (!has_dialled_) ScheduleRedial(std::nullopt);
  const bool connect_timed_out =
      !connected_ && now - dialled_at_ >= ConnectTimeout();
  if (connect_timed_out || now - last_reply_ >= timing_.reply_timeout) {
    ScheduleRedial(std::nullopt);
  }
  if (redial_pending_ && now - dialled_at_ >= RedialPeriod()) Dial();
  if (now - last_heartbeat_ >= timing_.heartbeat_period) SendHeartbeat();
  SendOpenRequests(kResendPeriod);
  ExpireRequests();
}

void control_client::OnConnected() {
  connected_ = true;
  SendHeartbeat();
}

void control_client::OnFrame(const frame& encoded) {
  const auto reply = DecodeControlReply(encoded);
  if (!reply) return;
  last_reply_ = clock_.SteadyNow();
  if (const auto* refused = std::get_if<not_leader_message>(&reply->body)) {
    OnNotLeader(reply->number, *refused);
    return;
  }
  last_leader_reply_ = last_reply_;
  if (const auto* beat = std::get_if<heartbeat_reply_message>(&reply->body)) {
    OnHeartbeatReply(*beat);
    return;
  }
  if (const auto* config =
          std::get_if<fetch_config_reply_message>(&reply->body)) {
    OnConfigReply(*config);
    return;
  }
  CompleteRequest(reply->number, &reply->body);
}

void control_client::OnClosed() {
  connected_ = false;
  leader_confirmed_ = false;
  ScheduleRedial(std::nullopt);
}

void control_client::OnConnectFailed() {
  if (!connected_) ScheduleRedial(std::nullopt);
}

void control_client::SetAddresses(std::vector<socket_address> addresses) {
  addresses_ = std::move(addresses);
}

bool control_client::LeaderReachable() const {
  return last_leader_reply_ &&
         clock_.SteadyNow() - *last_leader_reply_ < timing_.reply_timeout;
}

template <typename Reply>
void control_client::OpenRequest(control_request body, milliseconds timeout,
                                 answer_hook<Reply> on_answer) {
  const steady_time now = clock_.SteadyNow();
  const auto on_end = [this, on_answer =
                                 std::move(on_answer)](const control_reply* r) {
    if (r == nullptr) unavailable_.Add();
    const Reply* reply = r == nullptr ? nullptr : std::get_if<Reply>(r);
    on_answer(reply == nullptr ? std::nullopt : std::optional<Reply>(*reply));
  };
  const std::uint64_t number = ++last_number_;
  const auto [position, added] = open_requests_.emplace(
      number, open_request{std::move(body), now + timeout, now, on_end});
  SendRequest(position->second, number);
}

void control_client::SendRequest(open_request& request, std::uint64_t number) {
  request.last_sent = clock_.SteadyNow();
  if (leader_confirmed_) {
    hooks_.send(EncodeControlRequest(number, request.body));
  }
}

void control_client::CompleteRequest(std::uint64_t number,
                                     const control_reply* reply) {
  // A request that was resent may be answered twice; the second reply has no
  // open request.
  const auto position = open_requests_.find(number);
  if (position == open_requests_.end()) return;
  const auto on_answer = std::move(position->second.on_answer);
  open_requests_.erase(position);
  on_answer(reply);
}

void control_client::ExpireRequests() {
  const steady_time now = clock_.SteadyNow();
  std::vector<std::uint64_t> expired;
  for (const auto& [number, request] : open_requests_) {
    if (request.deadline <= now) expired.push_back(number);
  }
  for (const std::uint64_t number : expired) CompleteRequest(number, nullptr);
}

void control_client::SendOpenRequests(duration age) {
  if (!leader_confirmed_) return;
  const steady_time now = clock_.SteadyNow();
  for (auto& [number, request] : open_requests_) {
    if (now - request.last_sent < age) continue;
    resends_.Add();
    SendRequest(request, number);
  }
}

void control_client::PursueAbandonedClaim(const ledger_claim_message& claim) {
  if (abandoned_claims_ >= kAbandonedClaimLimit) return;
  ++abandoned_claims_;
  OpenRequest<ledger_claim_reply_message>(
      claim, kAbandonedClaimTimeout,
      [this](const std::optional<ledger_claim_reply_message>& reply) {
        --abandoned_claims_;
        if (!reply || reply->outcome != claim_outcome::accepted) return;
        ledger_finish_message finish{
            reply->record.submission,
            reply->record.epoch,
            ledger_state::failed,
            {refusal_reason::ledger_unavailable, run_outcome::not_run,
             "the claim was answered too late"}};
        Finish(finish, kAbandonedClaimTimeout, [](const auto& /*reply*/) {});
      });
}

void control_client::OnNotLeader(std::uint64_t number,
                                 const not_leader_message& message) {
  const auto address = socket_address::Parse(message.leader_address);
  if (address && *address != target_) {
    leader_confirmed_ = false;
    ScheduleRedial(address);
    return;
  }
  // The leader also refuses claims this way while its ledger is full. Only a
  // refused heartbeat shows that this process is not the leader.
  if (config_fetch_ == number) {
    config_fetch_.reset();
    return;
  }
  if (open_requests_.contains(number)) return;
  leader_confirmed_ = false;
  last_heartbeat_ = clock_.SteadyNow() - timing_.heartbeat_period +
                    timing_.leaderless_retry_delay;
  if (++leaderless_replies_ >= kLeaderlessReplyLimit) {
    ScheduleRedial(std::nullopt);
  }
}

void control_client::OnHeartbeatReply(const heartbeat_reply_message& reply) {
  if (!leader_confirmed_) {
    LOG(INFO) << "control leader " << target_.ToString()
              << " answers after dials: " << dials_
              << "; newest configuration version " << reply.newest
              << ", listed entries: " << reply.entries.size();
  }
  leaderless_replies_ = 0;
  dials_ = 0;
  redial_pending_ = false;
  if (!std::exchange(leader_confirmed_, true)) SendOpenRequests(duration(0));
  hooks_.on_newest(reply.newest);
  if (hooks_.on_evacuations) hooks_.on_evacuations(reply.evacuations);
  ReportEntries(reply);
  for (const ledger_record& record : reply.takeovers) {
    hooks_.on_takeover(record);
  }
  if (hooks_.on_config && hooks_.heartbeat().version < reply.newest) {
    FetchConfig();
  }
}

void control_client::ReportEntries(const heartbeat_reply_message& reply) {
  // A list that was omitted against another digest than the present one is
  // requested again by the next heartbeat.
  if (reply.entries_omitted && reply.entries_digest != entries_digest_) return;
  if (!reply.entries_omitted) {
    entries_ = reply.entries;
    entries_digest_ = reply.entries_digest;
  }
  if (hooks_.on_alike_agents) hooks_.on_alike_agents(reply.alike_agents);
  hooks_.on_entries(entries_);
}

void control_client::FetchConfig() {
  const steady_time now = clock_.SteadyNow();
  if (config_fetch_ && now - config_fetch_sent_ < kConfigFetchTimeout) return;
  config_fetch_ = ++last_number_;
  config_fetch_sent_ = now;
  hooks_.send(EncodeControlRequest(*config_fetch_, fetch_config_message{}));
}

void control_client::OnConfigReply(const fetch_config_reply_message& reply) {
  config_fetch_.reset();
  if (!hooks_.on_config || reply.version.Value() == 0) return;
  hooks_.on_config(reply.version, reply.document);
}

void control_client::ScheduleRedial(std::optional<socket_address> address) {
  // A pending redirect is not replaced by a redial without an address.
  if (redial_pending_ && !address) return;
  redial_pending_ = true;
  redirect_ = std::move(address);
}

milliseconds control_client::ConnectTimeout() const {
  return dials_ <= kFastDials ? kFastConnectTimeout : kConnectTimeout;
}

milliseconds control_client::RedialPeriod() const {
  return dials_ <= kFastDials ? kFastRedialPeriod : kMinRedialPeriod;
}

void control_client::Dial() {
  if (redirect_) {
    target_ = *redirect_;
  } else {
    target_ = addresses_[next_address_++ % addresses_.size()];
  }
  redirect_.reset();
  redial_pending_ = false;
  ++dials_;
  if (has_dialled_) redials_.Add();
  has_dialled_ = true;
  connected_ = false;
  leader_confirmed_ = false;
  leaderless_replies_ = 0;
  config_fetch_.reset();
  dialled_at_ = clock_.SteadyNow();
  last_reply_ = dialled_at_;
  hooks_.dial(target_);
}

}  // namespace almond
