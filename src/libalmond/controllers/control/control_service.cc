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
      claims_(metrics.Counter("almond_control_claims_total")),
      not_leader_replies_(metrics.Counter("almond_control_not_leader_total")),
      takeovers_(metrics.Counter("almond_control_takeovers_total")),
      ledger_full_(metrics.Counter("almond_control_ledger_full_total")) {}

void control_service::Handle(const control_request& request,
                             reply_hook on_reply) {
  UpdateLeadership();
  if (!leader_) {
    on_reply(NotLeader());
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
  ProposeChange(Command(config_change{change_id, expected, document.Serialize(),
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
    ProposeChange(Command(config), std::move(on_answer));
    return;
  }
  // Resends of what is known do not fill the log.
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
  auto pending = std::make_shared<pending_change>(pending_change{
      clock_.SteadyNow() + kChangeTimeout, std::move(on_answer)});
  changes_.push_back(pending);
  const auto on_end = [pending](const proposal_result& end) {
    const change_hook answer = std::exchange(pending->on_answer, nullptr);
    if (!answer) return;
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
      answer(change_unknown{});
    }
  };
  hooks_.propose(EncodeCommand(command), on_end);
}

void control_service::ChangeReplicaAddress(const replica_address_change& move,
                                           std::function<void(bool)> on_end) {
  hooks_.propose(EncodeCommand(Command(move)),
                 [on_end = std::move(on_end)](const proposal_result& end) {
                   on_end(end.outcome == proposal_outcome::committed);
                 });
}

void control_service::Read(read_hook on_confirmed) {
  reads_.push_back(std::move(on_confirmed));
  if (reads_.size() == 1) hooks_.defer([this] { FlushReads(); });
}

void control_service::Tick() {
  UpdateLeadership();
  const steady_time now = clock_.SteadyNow();
  if (now - last_tick_ > kMaxTickGap) directory_.RestartOwnerWait();
  last_tick_ = now;
  directory_.Forget();
  EndChanges();
  if (leader_) TakeOverDead();
}

void control_service::UpdateLeadership() {
  const bool leader = hooks_.is_leader();
  if (leader && !leader_) directory_.RestartOwnerWait();
  leader_ = leader;
}

void control_service::Serve(const heartbeat_message& message,
                            const reply_hook& on_reply) {
  directory_.Heartbeat(message);
  heartbeat_reply_message reply;
  // May be older than the newest until this leader finds that it was replaced;
  // processes ignore versions below their own.
  reply.newest = machine_.Config().Newest();
  reply.entries = directory_.LiveEntries();
  if (message.role == process_role::entry) {
    reply.takeovers = machine_.Ledger().TakenOver(
        {entry_id(message.id), message.incarnation}, kMaxReplyTakeovers);
  }
  on_reply(reply);
}

void control_service::Serve(const fetch_config_message& /*message*/,
                            const reply_hook& on_reply) {
  Read([this, on_reply](bool confirmed) {
    if (!confirmed) {
      on_reply(NotLeader());
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
  directory_.HeardOwner({message.owner, message.owner_incarnation});
  ProposeFor<claim_result>(
      Command(message), on_reply,
      [this, on_reply, digest = message.digest](const claim_result& result) {
        if (!result.reply) {
          // Nothing was stored, so the entry may refuse with "not-run" once
          // its own timeout has passed.
          ledger_full_.Add();
          on_reply(not_leader_message{});
          return;
        }
        ledger_claim_reply_message reply = *result.reply;
        if (reply.outcome == claim_outcome::accepted ||
            reply.outcome == claim_outcome::exists) {
          // The ledger keeps a digest of any other form only as its SHA-256.
          reply.record.digest = digest;
        }
        on_reply(reply);
      });
}

void control_service::Serve(const ledger_finish_message& message,
                            const reply_hook& on_reply) {
  ProposeFor<ledger_finish_reply_message>(
      Command(message), on_reply,
      [on_reply](const ledger_finish_reply_message& reply) {
        on_reply(reply);
      });
}

void control_service::Serve(const ledger_read_message& message,
                            const reply_hook& on_reply) {
  Read([this, on_reply, submission = message.submission](bool confirmed) {
    if (!confirmed) {
      on_reply(NotLeader());
      return;
    }
    on_reply(ledger_read_reply_message{machine_.Ledger().Find(submission)});
  });
}

not_leader_message control_service::NotLeader() {
  not_leader_replies_.Add();
  return {hooks_.leader_address()};
}

template <typename Result>
void control_service::ProposeFor(const control_command& command,
                                 const reply_hook& on_reply,
                                 std::function<void(const Result&)> on_result) {
  hooks_.propose(EncodeCommand(command),
                 [this, on_reply, on_result = std::move(on_result)](
                     const proposal_result& end) {
                   const auto result = DecodeResult(end.result);
                   if (end.outcome != proposal_outcome::committed || !result ||
                       !std::holds_alternative<Result>(*result)) {
                     // Claims and ends may be resent, so an unknown end is
                     // treated like one that was not appended.
                     on_reply(NotLeader());
                     return;
                   }
                   on_result(std::get<Result>(*result));
                 });
}

template <typename Body>
control_command control_service::Command(Body body) {
  last_command_ =
      std::max({last_command_, machine_.Ledger().Now(), clock_.WallNow()});
  return {last_command_, std::move(body)};
}

void control_service::FlushReads() {
  auto reads =
      std::make_shared<std::vector<read_hook>>(std::exchange(reads_, {}));
  hooks_.confirm_read([reads](bool confirmed) {
    for (const read_hook& read : *reads) read(confirmed);
  });
}

void control_service::EndChanges() {
  const steady_time now = clock_.SteadyNow();
  std::vector<change_hook> late;
  std::erase_if(changes_, [now, &late](const auto& pending) {
    if (pending->on_answer && pending->deadline <= now) {
      late.push_back(std::exchange(pending->on_answer, nullptr));
    }
    return !pending->on_answer;
  });
  for (const change_hook& answer : late) answer(change_unknown{});
}

void control_service::TakeOverDead() {
  if (takeovers_in_flight_ != 0) return;
  for (const ledger_owner& owner : machine_.Ledger().RunningOwners()) {
    if (!directory_.OwnerDead(owner)) continue;
    const auto successors = directory_.Successors(owner);
    if (!successors.empty()) TakeOver(owner, successors);
  }
}

void control_service::TakeOver(const ledger_owner& owner,
                               const std::vector<ledger_owner>& successors) {
  std::vector<std::vector<takeover_item>> shares(successors.size());
  for (const ledger_record& record :
       machine_.Ledger().Running(owner, kMaxTakeovers)) {
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
      EncodeCommand(Command(takeover_command{successor, std::move(items)})),
      [this](const proposal_result& end) {
        --takeovers_in_flight_;
        const auto result = DecodeResult(end.result);
        if (result && std::holds_alternative<takeover_result>(*result)) {
          takeovers_.Add(std::get<takeover_result>(*result).taken);
        }
      });
}

}  // namespace almond
