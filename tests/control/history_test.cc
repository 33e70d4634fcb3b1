#include <catch2/catch.hpp>
#include <set>

#include "control/control_service_fixture.h"
#include "libalmond/controllers/control/command_codec.h"

namespace almond {
namespace {

/// Runs concurrent clients against a log that loses and reorders proposals,
/// commits some only after a leader change, and reports some outcomes as
/// unknown. The answers that the clients received are checked afterwards.
class history_fixture : public control_service_fixture {
 protected:
  bool Chance(std::uint64_t percent) { return random_() % 100 < percent; }
  std::size_t Below(std::size_t limit) { return random_() % limit; }

  // Completes one random pending proposal: it commits with or without an
  // answer, or is lost; or the leader changes.
  void Step() {
    clock_.Advance(milliseconds(random_() % 50));
    if (proposals_.empty()) return;
    std::swap(proposals_.front(), proposals_[Below(proposals_.size())]);
    const std::uint64_t fate = random_() % 10;
    if (fate < 6) {
      EndProposal(proposal_outcome::committed);
    } else if (fate < 8) {
      machine_.Apply(proposals_.front().command);
      EndProposal(proposal_outcome::unknown);
    } else if (fate < 9) {
      EndProposal(proposal_outcome::not_leader);
    } else {
      orphaned_proposals_.insert(orphaned_proposals_.end(), proposals_.begin(),
                                 proposals_.end());
      NewLeader();
    }
    // Entries of an earlier leader may commit after the leader change.
    if (!orphaned_proposals_.empty() && Chance(30)) {
      machine_.Apply(orphaned_proposals_.front().command);
      orphaned_proposals_.pop_front();
    }
  }

  std::deque<proposal> orphaned_proposals_;
};

struct answered_change {
  config_change change;
  change_result result;
};

// Guards against a compare-and-set that is not linearizable: two accepted
// changes based on the same version, a change applied twice, or an answer with
// the wrong version. Each generated section runs one seed.
TEST_CASE_METHOD(history_fixture,
                 "control history / concurrent operators / compare-and-set is "
                 "linearizable") {
  const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 201)));
  CAPTURE(seed);
  random_.seed(seed);
  std::vector<config_change> changes;
  std::vector<answered_change> answered;
  for (int step = 0; step < 300; ++step) {
    if (Chance(40)) {
      config_change change;
      if (!changes.empty() && Chance(40)) {
        change = changes[Below(changes.size())];
      } else {
        change.change_id = uuid::MakeV7(clock_.WallNow(), random_);
        change.expected = machine_.Config().Newest();
        change.document = "doc " + std::to_string(step);
        changes.push_back(change);
      }
      const config_document document{change.document, {}};
      change.digest = document.Digest();
      service_->ChangeConfig(change.change_id, change.expected, document,
                             [&answered, change](const change_answer& answer) {
                               const auto* result =
                                   std::get_if<change_result>(&answer);
                               if (result == nullptr) return;
                               answered.push_back({change, *result});
                             });
    }
    Step();
  }
  const auto history = machine_.Config().History();
  std::set<uuid> ids;
  for (std::size_t i = 0; i < history.size(); ++i) {
    REQUIRE(history[i].version == config_version(i + 1));
    REQUIRE(ids.insert(history[i].change_id).second);
  }
  for (const auto& [change, result] : answered) {
    REQUIRE(result.outcome != change_outcome::change_id_conflict);
    const auto& named = history.at(result.version.Value() - 1);
    REQUIRE(named.digest == result.digest);
    if (result.outcome == change_outcome::accepted) {
      REQUIRE(named.change_id == change.change_id);
      REQUIRE(result.version == change.expected.Next());
    } else {
      REQUIRE(result.version != change.expected);
    }
  }
  REQUIRE(answered.size() > 10);
}

// Guards against a submission with two owners that start it, or with two end
// states.
TEST_CASE_METHOD(history_fixture,
                 "control history / concurrent claims and finishes / one owner "
                 "and one end state each") {
  const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 201)));
  CAPTURE(seed);
  random_.seed(seed);
  std::vector<uuid> ids(8);
  for (uuid& id : ids) id = uuid::MakeV7(clock_.WallNow(), random_);
  std::vector<ledger_claim_message> claims;
  std::map<uuid, std::set<entry_id>> starters;
  std::map<uuid, std::set<std::pair<std::uint64_t, ledger_state>>> ends;
  const auto on_claim = [&starters](const uuid& id, const entry_id& entry,
                                    const control_reply& reply) {
    const auto* claimed = std::get_if<ledger_claim_reply_message>(&reply);
    if (claimed != nullptr && claimed->outcome == claim_outcome::accepted) {
      starters[id].insert(entry);
    }
  };
  for (int step = 0; step < 400; ++step) {
    const uuid id = ids[Below(ids.size())];
    const entry_id entry("e" + std::to_string(Below(4)));
    const std::uint64_t choice = random_() % 10;
    if (choice < 4) {
      ledger_claim_message claim = Claim(entry.Value());
      claim.submission = id;
      if (!claims.empty() && Chance(50)) claim = claims[Below(claims.size())];
      claims.push_back(claim);
      service_->Handle(claim, [&on_claim, claim](const control_reply& reply) {
        on_claim(claim.submission, claim.owner, reply);
      });
    } else if (choice < 6) {
      const ledger_finish_message finish{
          id,
          owner_epoch(1 + Below(2)),
          Chance(50) ? ledger_state::complete : ledger_state::failed,
          {}};
      service_->Handle(finish, [&ends, finish](const control_reply& reply) {
        const auto* end = std::get_if<ledger_finish_reply_message>(&reply);
        if (end == nullptr || !end->stored) return;
        ends[finish.submission].insert({finish.epoch.Value(), finish.state});
      });
    } else if (choice < 7) {
      machine_.Apply(
          EncodeCommand({clock_.WallNow(),
                         takeover_command{{entry, incarnation_id(2)},
                                          {{id, owner_epoch(1 + Below(2))}}}}));
    }
    Step();
  }
  std::size_t accepted = 0;
  for (const uuid& id : ids) {
    accepted += starters[id].size();
    REQUIRE(starters[id].size() <= 1);
    REQUIRE(ends[id].size() <= 1);
    const auto record = machine_.Ledger().Find(id);
    if (ends[id].empty()) continue;
    REQUIRE(record->epoch.Value() == ends[id].begin()->first);
    REQUIRE(record->state == ends[id].begin()->second);
  }
  REQUIRE(accepted > 0);
}

}  // namespace
}  // namespace almond
