#include "libalmond/processes/control_client.h"

#include <utility>

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
      moves_(metrics.Counter("almond_control_client_moves_total")) {}

void control_client::Claim(const ledger_claim_message& claim,
                           milliseconds timeout,
                           answer_hook<ledger_claim_reply_message> on_answer) {
  Open<ledger_claim_reply_message>(
      claim, timeout,
      [this, claim, on_answer = std::move(on_answer)](
          const std::optional<ledger_claim_reply_message>& reply) {
        if (!reply) Abandon(claim);
        on_answer(reply);
      });
}

void control_client::Finish(
    const ledger_finish_message& finish, milliseconds timeout,
    answer_hook<ledger_finish_reply_message> on_answer) {
  Open(finish, timeout, std::move(on_answer));
}

void control_client::Read(const ledger_read_message& read, milliseconds timeout,
                          answer_hook<ledger_read_reply_message> on_answer) {
  Open(read, timeout, std::move(on_answer));
}

void control_client::SendHeartbeat() {
  last_heartbeat_ = clock_.SteadyNow();
  if (!connected_) return;
  hooks_.send(EncodeControlRequest(++last_number_, hooks_.heartbeat()));
}

void control_client::Tick() {
  const steady_time now = clock_.SteadyNow();
  if (!dialled_) LeaveFor(std::nullopt);
  const bool connect_late = !connected_ && now - dialled_at_ >= kConnectLimit;
  if (connect_late || now - last_reply_ >= timing_.silence_limit) {
    LeaveFor(std::nullopt);
  }
  if (leave_ && now - dialled_at_ >= kMinStay) Dial();
  if (now - last_heartbeat_ >= timing_.heartbeat_period) SendHeartbeat();
  SendOpen(kResendPeriod);
  EndLate();
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
  last_answer_ = last_reply_;
  if (const auto* beat = std::get_if<heartbeat_reply_message>(&reply->body)) {
    OnHeartbeatReply(*beat);
    return;
  }
  End(reply->number, &reply->body);
}

void control_client::OnClosed() {
  connected_ = false;
  leader_here_ = false;
  LeaveFor(std::nullopt);
}

void control_client::SetAddresses(std::vector<socket_address> addresses) {
  addresses_ = std::move(addresses);
}

bool control_client::LeaderReachable() const {
  return last_answer_ &&
         clock_.SteadyNow() - *last_answer_ < timing_.silence_limit;
}

template <typename Reply>
void control_client::Open(control_request body, milliseconds timeout,
                          answer_hook<Reply> on_answer) {
  const steady_time now = clock_.SteadyNow();
  const auto on_end = [this, on_answer =
                                 std::move(on_answer)](const control_reply* r) {
    if (r == nullptr) unavailable_.Add();
    const Reply* reply = r == nullptr ? nullptr : std::get_if<Reply>(r);
    on_answer(reply == nullptr ? std::nullopt : std::optional<Reply>(*reply));
  };
  const std::uint64_t number = ++last_number_;
  const auto [position, added] = open_.emplace(
      number, open_request{std::move(body), now + timeout, now, on_end});
  Send(position->second, number);
}

void control_client::Send(open_request& request, std::uint64_t number) {
  request.last_sent = clock_.SteadyNow();
  if (leader_here_) hooks_.send(EncodeControlRequest(number, request.body));
}

void control_client::End(std::uint64_t number, const control_reply* reply) {
  // The second answer of a request that was resent finds nothing.
  const auto position = open_.find(number);
  if (position == open_.end()) return;
  const auto on_answer = std::move(position->second.on_answer);
  open_.erase(position);
  on_answer(reply);
}

void control_client::EndLate() {
  const steady_time now = clock_.SteadyNow();
  std::vector<std::uint64_t> late;
  for (const auto& [number, request] : open_) {
    if (request.deadline <= now) late.push_back(number);
  }
  for (const std::uint64_t number : late) End(number, nullptr);
}

void control_client::SendOpen(duration age) {
  if (!leader_here_) return;
  const steady_time now = clock_.SteadyNow();
  for (auto& [number, request] : open_) {
    if (now - request.last_sent < age) continue;
    resends_.Add();
    Send(request, number);
  }
}

void control_client::Abandon(const ledger_claim_message& claim) {
  if (abandoned_ >= kMaxAbandoned) return;
  ++abandoned_;
  Open<ledger_claim_reply_message>(
      claim, kAbandonedLimit,
      [this](const std::optional<ledger_claim_reply_message>& reply) {
        --abandoned_;
        if (!reply || reply->outcome != claim_outcome::accepted) return;
        ledger_finish_message finish{
            reply->record.submission,
            reply->record.epoch,
            ledger_state::failed,
            {refusal_reason::ledger_unavailable, run_outcome::not_run,
             "the claim was answered too late"}};
        Finish(finish, kAbandonedLimit, [](const auto& /*reply*/) {});
      });
}

void control_client::OnNotLeader(std::uint64_t number,
                                 const not_leader_message& message) {
  const auto address = socket_address::Parse(message.leader_address);
  if (address && *address != target_) {
    leader_here_ = false;
    LeaveFor(address);
    return;
  }
  // The leader refuses a claim like this while its ledger is full; only a
  // refused heartbeat says that it is not the leader.
  if (open_.contains(number)) return;
  leader_here_ = false;
  last_heartbeat_ =
      clock_.SteadyNow() - timing_.heartbeat_period + timing_.election_pause;
  if (++leaderless_ >= kMaxLeaderless) LeaveFor(std::nullopt);
}

void control_client::OnHeartbeatReply(const heartbeat_reply_message& reply) {
  leaderless_ = 0;
  leave_ = false;
  if (!std::exchange(leader_here_, true)) SendOpen(duration(0));
  hooks_.on_newest(reply.newest);
  hooks_.on_entries(reply.entries);
  for (const ledger_record& record : reply.takeovers) {
    hooks_.on_takeover(record);
  }
  if (hooks_.on_config && hooks_.heartbeat().version < reply.newest) {
    FetchConfig();
  }
}

void control_client::FetchConfig() {
  if (fetching_) return;
  fetching_ = true;
  Open<fetch_config_reply_message>(
      fetch_config_message{}, timing_.heartbeat_period,
      [this](const std::optional<fetch_config_reply_message>& reply) {
        fetching_ = false;
        if (reply && reply->version.Value() != 0) {
          hooks_.on_config(reply->version, reply->document);
        }
      });
}

void control_client::LeaveFor(std::optional<socket_address> address) {
  // An address that was named before is not forgotten for none.
  if (leave_ && !address) return;
  leave_ = true;
  redirect_ = std::move(address);
}

void control_client::Dial() {
  if (redirect_) {
    target_ = *redirect_;
  } else {
    target_ = addresses_[next_address_++ % addresses_.size()];
  }
  redirect_.reset();
  leave_ = false;
  if (dialled_) moves_.Add();
  dialled_ = true;
  connected_ = false;
  leader_here_ = false;
  leaderless_ = 0;
  dialled_at_ = clock_.SteadyNow();
  last_reply_ = dialled_at_;
  hooks_.dial(target_);
}

}  // namespace almond
