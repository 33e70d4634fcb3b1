#include <catch2/catch.hpp>
#include <set>

#include "control/control_service_fixture.h"
#include "libalmond/controllers/control/command_codec.h"

namespace almond {
namespace {

/// Clients that race through a log which loses, repeats and reorders what it is
/// given, with changes of leader. What they were told is checked afterwards.
class history_fixture : public control_service_fixture {
 protected:
  bool Chance(std::uint64_t percent) { return random_() % 100 < percent; }
  std::size_t Below(std::size_t limit) { return random_() % limit; }

  // The log takes one waiting proposal in any order: it commits with or without
  // an answer, it is lost, or the leader changes.
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
      late_.insert(late_.end(), proposals_.begin(), proposals_.end());
      NewLeader();
    }
    // What an earlier leader appended may be committed after its time.
    if (!late_.empty() && Chance(30)) {
      machine_.Apply(late_.front().command);
      late_.pop_front();
    }
  }

  std::deque<proposal> late_;
};

struct told_change {
  config_change change;
  change_result result;
};

// Guards against a compare-and-set that is not linearizable: two changes for
// one version, a change that is made twice, or an answer that names a version
// which the change does not have. One section runs one seed.
TEST_CASE_METHOD(history_fixture,
                 "control history / racing operators / compare-and-set is "
                 "linearizable") {
  const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 201)));
  CAPTURE(seed);
  random_.seed(seed);
  std::vector<config_change> changes;
  std::vector<told_change> told;
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
                             [&told, change](const change_answer& answer) {
                               const auto* result =
                                   std::get_if<change_result>(&answer);
                               if (result == nullptr) return;
                               told.push_back({change, *result});
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
  for (const auto& [change, result] : told) {
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
  REQUIRE(told.size() > 10);
}

// Guards against a submission with two starting owners, or with two ends.
TEST_CASE_METHOD(history_fixture,
                 "control history / racing claims and ends / one owner and one "
                 "end each") {
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
