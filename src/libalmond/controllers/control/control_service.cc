#include "libalmond/controllers/control/control_service.h"

#include <algorithm>
#include <utility>

#include "libalmond/controllers/control/command_codec.h"

namespace almond {

control_service::control_service(const clock_interface& clock,
                                 const control_state_machine& machine,
                                 metrics_registry& metrics, hooks callbacks)
    : clock_(clock),
      machine_(machine),
      hooks_(std::move(callbacks)),
      directory_(clock),
      last_tick_(clock.SteadyNow()),
      evacuations_(clock, machine.Evacuations(), directory_, EvacuationHooks()),
      claims_(metrics.Counter("almond_control_claims_total")),
      not_leader_replies_(metrics.Counter("almond_control_not_leader_total")),
      takeovers_(metrics.Counter("almond_control_takeovers_total")),
      ledger_full_(metrics.Counter("almond_control_ledger_full_total")) {}

void control_service::Handle(const control_request& request,
                             reply_hook on_reply) {
  UpdateLeadership();
  if (!leader_) {
    const auto* heartbeat = std::get_if<heartbeat_message>(&request);
    const not_leader_message reply = MakeNotLeaderReply();
    if (heartbeat != nullptr && reply.leader_address.empty()) {
      leaderless_.Add({*heartbeat, on_reply, clock_.SteadyNow()});
    }
    on_reply(reply);
    return;
  }
  std::visit(
      [this, &on_reply](const auto& message) { Serve(message, on_reply); },
      request);
}

void control_service::ChangeConfig(const uuid& change_id,
                                   config_version expected,
                                   const config_document& document,
                                   change_hook on_answer) {
  UpdateLeadership();
  if (!leader_) {
    on_answer(change_not_leader{});
    return;
  }
  if (auto errors = hooks_.check(document); !errors.empty()) {
    on_answer(change_invalid{std::move(errors)});
    return;
  }
  ProposeChange(
      MakeCommand(config_change{change_id, expected, document.Serialize(),
                                document.Digest()}),
      std::move(on_answer));
}

void control_service::SetVersionedConfig(const versioned_config& config,
                                         change_hook on_answer) {
  UpdateLeadership();
  if (!leader_) {
    on_answer(change_not_leader{});
    return;
  }
  if (config.version > machine_.Config().Newest()) {
    ProposeChange(MakeCommand(config), std::move(on_answer));
    return;
  }
  // The answer needs only a read, so that resends of a known version do not
  // fill the log.
  Read([this, on_answer = std::move(on_answer)](bool confirmed) {
    if (!confirmed) {
      on_answer(change_not_leader{});
      return;
    }
    const config_store& store = machine_.Config();
    on_answer(change_result{change_outcome::not_newer, store.Newest(),
                            store.Digest(store.Newest())});
  });
}

void control_service::ProposeChange(const control_command& command,
                                    change_hook on_answer) {
  const change_hook answer = pending_changes_.Add(
      clock_.SteadyNow() + kChangeTimeout, std::move(on_answer));
  const auto on_end = [answer](const proposal_result& end) {
    if (end.outcome == proposal_outcome::not_leader) {
      answer(change_not_leader{});
      return;
    }
    const auto result = DecodeResult(end.result);
    const bool known = end.outcome == proposal_outcome::committed && result &&
                       std::holds_alternative<change_result>(*result);
    if (known) {
      answer(std::get<change_result>(*result));
    } else {
      answer(change_outcome_unknown{});
    }
  };
  hooks_.propose(EncodeCommand(command), on_end);
}

void control_service::ChangeEvacuation(
    const evacuation_change& change,
    evacuation_controller::answer_hook on_answer) {
  UpdateLeadership();
  evacuations_.Change(change, std::move(on_answer));
}

evacuation_controller::hooks control_service::EvacuationHooks() {
  return {[this](const evacuation_change& change, proposal_hook on_end) {
            hooks_.propose(EncodeCommand(MakeCommand(change)),
                           std::move(on_end));
          },
          [this](read_hook on_confirmed) { Read(std::move(on_confirmed)); },
          [this] { return leader_; }, [this] { return hooks_.data_centres(); }};
}

void control_service::ChangeReplicaAddress(const replica_address_change& change,
                                           std::function<void(bool)> on_end) {
  hooks_.propose(EncodeCommand(MakeCommand(change)),
                 [on_end = std::move(on_end)](const proposal_result& end) {
                   on_end(end.outcome == proposal_outcome::committed);
                 });
}

void control_service::ClaimReplica(
    const replica_claim& claim,
    std::function<void(std::optional<bool>)> on_end) {
  hooks_.propose(EncodeCommand(MakeCommand(claim)),
                 [on_end = std::move(on_end)](const proposal_result& end) {
                   const auto result = DecodeResult(end.result);
                   if (end.outcome != proposal_outcome::committed || !result ||
                       !std::holds_alternative<replica_claim_result>(*result)) {
                     on_end(std::nullopt);
                     return;
                   }
                   on_end(std::get<replica_claim_result>(*result).accepted);
                 });
}

void control_service::Read(read_hook on_confirmed) {
  pending_reads_.push_back(std::move(on_confirmed));
  if (pending_reads_.size() == 1) hooks_.defer([this] { ConfirmReads(); });
}

void control_service::Tick() {
  UpdateLeadership();
  const steady_time now = clock_.SteadyNow();
  if (now - last_tick_ > kMaxTickGap) directory_.RestartGracePeriod();
  last_tick_ = now;
  directory_.RemoveExpired();
  pending_changes_.Expire(now, change_outcome_unknown{});
  evacuations_.Tick();
  if (leader_) TakeOverFromDeadOwners();
}

void control_service::UpdateLeadership() {
  const bool leader = hooks_.is_leader();
  if (leader && !leader_) directory_.RestartGracePeriod();
  if (!leader) list_users_.Clear();
  leader_ = leader;
  AnswerWaiting();
}

void control_service::AnswerWaiting() {
  if (leaderless_.Size() == 0) return;
  if (!leader_ && hooks_.leader_address().empty()) return;
  for (const waiting_heartbeat& waiting :
       leaderless_.Take(clock_.SteadyNow() - kMaxHeartbeatWait)) {
    if (leader_) {
      Serve(waiting.message, waiting.on_reply);
    } else {
      waiting.on_reply(MakeNotLeaderReply());
    }
  }
}

void control_service::Serve(const heartbeat_message& message,
                            const reply_hook& on_reply) {
  directory_.RecordHeartbeat(message);
  const heartbeat_reply_message reply = MakeHeartbeatReply(message);
  on_reply(reply);
  if (directory_.IsComplete()) {
    list_users_.Clear();
    return;
  }
  if (message.role == process_role::agent) {
    waiting_heartbeat user{message, on_reply, clock_.SteadyNow()};
    user.message.entries_digest = reply.entries_digest;
    list_users_.Add(std::move(user));
  }
  UpdateLists();
}

void control_service::UpdateLists() {
  const steady_time now = clock_.SteadyNow();
  if (now - last_list_update_ <
      kMinListUpdatePeriod + kListUpdatePeriodPerAgent * list_users_.Size()) {
    return;
  }
  const std::uint64_t digest = directory_.LiveProcesses().entries_digest;
  if (digest == std::exchange(listed_digest_, digest)) return;
  for (waiting_heartbeat& user :
       list_users_.Take(now - process_directory::kLivenessTimeout)) {
    if (user.message.entries_digest != digest) {
      user.on_reply(MakeHeartbeatReply(user.message));
      user.message.entries_digest = digest;
      last_list_update_ = now;
    }
    list_users_.Add(std::move(user));
  }
}

heartbeat_reply_message control_service::MakeHeartbeatReply(
    const heartbeat_message& message) {
  heartbeat_reply_message reply;
  // A leader that has been replaced and does not know it yet may report older
  // versions; processes ignore versions below their own.
  reply.newest = machine_.Config().Newest();
  reply.evacuations = machine_.Evacuations().Evacuations();
  const live_processes& live = directory_.LiveProcesses();
  reply.entries_digest = live.entries_digest;
  reply.entries_omitted = message.entries_digest == live.entries_digest;
  if (!reply.entries_omitted) reply.entries = live.entries;
  reply.alike_agents = directory_.AlikeAgents(message.endpoint_kind);
  if (message.role == process_role::entry) {
    reply.takeovers = machine_.Ledger().TakenOver(
        {entry_id(message.id), message.incarnation}, kMaxTakeoversPerReply);
  }
  return reply;
}

void control_service::Serve(const fetch_config_message& /*message*/,
                            const reply_hook& on_reply) {
  Read([this, on_reply](bool confirmed) {
    if (!confirmed) {
      on_reply(MakeNotLeaderReply());
      return;
    }
    const config_store& config = machine_.Config();
    const std::string* document = config.Document(config.Newest());
    on_reply(fetch_config_reply_message{
        config.Newest(), document == nullptr ? std::string() : *document});
  });
}

void control_service::Serve(const ledger_claim_message& message,
                            const reply_hook& on_reply) {
  claims_.Add();
  directory_.RecordOwnerContact({message.owner, message.owner_incarnation});
  ProposeAndReply<claim_result>(
      MakeCommand(message), on_reply,
      [this, on_reply, digest = message.digest](const claim_result& result) {
        if (!result.reply) {
          // Nothing was stored, so the entry may refuse the submission as
          // "not-run" after its own timeout.
          ledger_full_.Add();
          on_reply(not_leader_message{});
          return;
        }
        ledger_claim_reply_message reply = *result.reply;
        if (reply.outcome == claim_outcome::accepted ||
            reply.outcome == claim_outcome::exists) {
          // The ledger stores a digest that is not a SHA-256 only as its
          // SHA-256, so the claim's own digest is put back.
          reply.record.digest = digest;
        }
        on_reply(reply);
      });
}

void control_service::Serve(const ledger_finish_message& message,
                            const reply_hook& on_reply) {
  ProposeAndReply<ledger_finish_reply_message>(
      MakeCommand(message), on_reply,
      [on_reply](const ledger_finish_reply_message& reply) {
        on_reply(reply);
      });
}

void control_service::Serve(const ledger_read_message& message,
                            const reply_hook& on_reply) {
  Read([this, on_reply, submission = message.submission](bool confirmed) {
    if (!confirmed) {
      on_reply(MakeNotLeaderReply());
      return;
    }
    on_reply(ledger_read_reply_message{machine_.Ledger().Find(submission)});
  });
}

not_leader_message control_service::MakeNotLeaderReply() {
  not_leader_replies_.Add();
  return {hooks_.leader_address()};
}

template <typename Result>
void control_service::ProposeAndReply(
    const control_command& command, const reply_hook& on_reply,
    std::function<void(const Result&)> on_result) {
  hooks_.propose(EncodeCommand(command),
                 [this, on_reply, on_result = std::move(on_result)](
                     const proposal_result& end) {
                   const auto result = DecodeResult(end.result);
                   if (end.outcome != proposal_outcome::committed || !result ||
                       !std::holds_alternative<Result>(*result)) {
                     // Claims and finishes may be resent, so an unknown outcome
                     // is handled like a proposal that was not appended.
                     on_reply(MakeNotLeaderReply());
                     return;
                   }
                   on_result(std::get<Result>(*result));
                 });
}

template <typename Body>
control_command control_service::MakeCommand(Body body) {
  last_command_time_ =
      std::max({last_command_time_, machine_.Ledger().Now(), clock_.WallNow()});
  return {last_command_time_, std::move(body)};
}

void control_service::ConfirmReads() {
  auto reads = std::make_shared<std::vector<read_hook>>(
      std::exchange(pending_reads_, {}));
  hooks_.confirm_read([reads](bool confirmed) {
    for (const read_hook& read : *reads) read(confirmed);
  });
}

void control_service::TakeOverFromDeadOwners() {
  if (takeovers_in_flight_ != 0) return;
  for (const ledger_owner& owner : machine_.Ledger().RunningOwners()) {
    if (!directory_.IsOwnerDead(owner)) continue;
    const auto successors = directory_.Successors(owner);
    if (!successors.empty()) TakeOver(owner, successors);
  }
}

void control_service::TakeOver(const ledger_owner& owner,
                               const std::vector<ledger_owner>& successors) {
  std::vector<std::vector<takeover_item>> shares(successors.size());
  for (const ledger_record& record :
       machine_.Ledger().Running(owner, kMaxTakeoversPerTick)) {
    shares[next_successor_++ % shares.size()].push_back(
        {record.submission, record.epoch});
  }
  for (std::size_t i = 0; i < shares.size(); ++i) {
    if (!shares[i].empty()) {
      ProposeTakeover(successors[i], std::move(shares[i]));
    }
  }
}

void control_service::ProposeTakeover(const ledger_owner& successor,
                                      std::vector<takeover_item> items) {
  ++takeovers_in_flight_;
  hooks_.propose(
      EncodeCommand(MakeCommand(takeover_command{successor, std::move(items)})),
      [this](const proposal_result& end) {
        --takeovers_in_flight_;
        const auto result = DecodeResult(end.result);
        if (result && std::holds_alternative<takeover_result>(*result)) {
          takeovers_.Add(std::get<takeover_result>(*result).taken);
        }
      });
}

}  // namespace almond
