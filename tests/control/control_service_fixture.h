#ifndef ALMOND_TESTS_CONTROL_CONTROL_SERVICE_FIXTURE_H_
#define ALMOND_TESTS_CONTROL_CONTROL_SERVICE_FIXTURE_H_

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libalmond/controllers/control/control_service.h"
#include "libalmond/core/digest.h"

namespace almond {

/// A control service on a fake log. The test decides when proposals and reads
/// complete, and with which outcome.
class control_service_fixture {
 protected:
  struct proposal {
    std::string command;
    proposal_hook on_end;
  };

  control_service_fixture() { NewLeader(); }

  // Makes another control process with the same replicated state the leader.
  void NewLeader() {
    proposals_.clear();
    service_ = std::make_unique<control_service>(
        clock_, machine_, metrics_,
        control_service::hooks{
            [this](std::string command, proposal_hook on_end) {
              proposals_.push_back({std::move(command), std::move(on_end)});
            },
            [this](read_hook on_end) {
              confirmations_.push_back(std::move(on_end));
            },
            [this] { return leader_; }, [this] { return leader_address_; },
            [this](std::function<void()> call) {
              deferred_.push_back(std::move(call));
            },
            [](const config_document& document) {
              return document.base == "bad"
                         ? std::vector<config_error>{{"base", "k", "a map"}}
                         : std::vector<config_error>{};
            },
            [this] { return data_centres_; }});
    service_->UpdateLeadership();
  }
  void EndProposal(proposal_outcome outcome) {
    const proposal next = std::move(proposals_.front());
    proposals_.pop_front();
    next.on_end({outcome, outcome == proposal_outcome::committed
                              ? machine_.Apply(next.command)
                              : std::string()});
  }
  void Commit() {
    while (!proposals_.empty()) EndProposal(proposal_outcome::committed);
  }
  void RunDeferred() {
    for (const auto& call : std::exchange(deferred_, {})) call();
  }
  void Confirm(bool confirmed) {
    for (const auto& read : std::exchange(confirmations_, {})) read(confirmed);
  }
  // Sends a request; its reply is appended to replies_.
  void Send(const control_request& request) {
    service_->Handle(request, [this](const control_reply& reply) {
      replies_.push_back(reply);
    });
  }
  template <typename Reply>
  Reply Last() {
    auto reply = std::get<Reply>(replies_.back());
    replies_.clear();
    return reply;
  }
  ledger_claim_message Claim(const std::string& entry,
                             std::uint64_t incarnation = 1) {
    return {uuid::MakeV7(clock_.WallNow(), random_),
            Sha256({"content"}),
            service_id("linen-desk"),
            2,
            entry_id(entry),
            incarnation_id(incarnation),
            clock_.WallNow()};
  }
  heartbeat_reply_message SendHeartbeat(const std::string& id,
                                        std::uint64_t incarnation = 1) {
    heartbeat_message beat;
    beat.id = id;
    beat.incarnation = incarnation_id(incarnation);
    beat.data_centre = data_centre_id("my-central-1");
    Send(beat);
    return Last<heartbeat_reply_message>();
  }
  void AdvanceClock(milliseconds time,
                    const std::vector<std::string>& live_ids) {
    for (; time.count() > 0; time -= control_service::kTickPeriod) {
      clock_.Advance(control_service::kTickPeriod);
      for (const std::string& id : live_ids) SendHeartbeat(id);
      service_->Tick();
    }
  }
  change_answer Change(const uuid& id, std::uint64_t expected,
                       const std::string& base, proposal_outcome end) {
    change_answer answer;
    service_->ChangeConfig(id, config_version(expected), {base, {}},
                           [&answer](const change_answer& a) { answer = a; });
    if (!proposals_.empty()) EndProposal(end);
    return answer;
  }

  manual_clock clock_;
  std::mt19937_64 random_{1};
  metrics_registry metrics_;
  control_state_machine machine_;
  bool leader_ = true;
  std::vector<data_centre_id> data_centres_;
  std::string leader_address_ = "127.0.0.1:7102";
  std::deque<proposal> proposals_;
  std::vector<read_hook> confirmations_;
  std::vector<std::function<void()>> deferred_;
  std::vector<control_reply> replies_;
  std::unique_ptr<control_service> service_;
};

}  // namespace almond

#endif  // ALMOND_TESTS_CONTROL_CONTROL_SERVICE_FIXTURE_H_
