#include "libalmond/processes/control_client.h"

#include <catch2/catch.hpp>
#include <set>

#include "libalmond/wire/control_codec.h"

namespace almond {
namespace {

using answers = std::vector<std::optional<ledger_claim_reply_message>>;

/// A client whose connection the test plays by hand.
class control_client_fixture {
 protected:
  control_client_fixture() {
    client_.Tick();
    client_.OnConnected();
  }

  control_client::hooks Hooks() {
    return {[this](const socket_address& to) { dialled_.push_back(to.port); },
            [this](const frame& message) {
              sent_.push_back(DecodeControlRequest(message).value());
            },
            [this] {
              heartbeat_message beat;
              beat.version = version_;
              return beat;
            },
            [this](const auto& entries) { entries_ = entries.size(); },
            [this](const ledger_record& record) { taken_.push_back(record); },
            [](config_version) {},
            [this](config_version version, const std::string&) {
              version_ = std::max(version_, version);
            }};
  }
  void Reply(std::uint64_t number, const control_reply& reply) {
    client_.OnFrame(EncodeControlReply(number, reply));
  }
  // Answers all heartbeats, as the leader does.
  void AnswerBeats(std::uint64_t newest = 0) {
    for (const auto& request : std::exchange(sent_, {})) {
      if (std::holds_alternative<heartbeat_message>(request.body)) {
        Reply(request.number,
              heartbeat_reply_message{config_version(newest), {{}}, {}});
      } else {
        requests_.push_back(request);
      }
    }
    for (const auto& request : std::exchange(sent_, {})) {
      requests_.push_back(request);
    }
  }
  void Pass(milliseconds time, bool leader_answers) {
    for (; time.count() > 0; time -= control_client::kTickPeriod) {
      clock_.Advance(control_client::kTickPeriod);
      client_.Tick();
      if (leader_answers) AnswerBeats();
    }
  }
  void Claim() {
    ledger_claim_message claim;
    claim.task_count = 4;
    client_.Claim(claim, milliseconds(2000),
                  [this](const auto& answer) { claims_.push_back(answer); });
    AnswerBeats();
  }
  static ledger_claim_reply_message Accepted() {
    ledger_claim_reply_message reply{claim_outcome::accepted, {}};
    reply.record.epoch = owner_epoch(1);
    return reply;
  }

  manual_clock clock_;
  metrics_registry metrics_;
  std::vector<int> dialled_;
  std::vector<numbered_control_request> sent_;
  std::vector<numbered_control_request> requests_;  // without heartbeats
  config_version version_;
  std::size_t entries_ = 0;
  std::vector<ledger_record> taken_;
  answers claims_;
  control_client client_{clock_,
                         metrics_,
                         {{"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}},
                         Hooks()};
};

// Guards against a claim whose answer is lost, doubled or crossed with another
// one, and against an answer that comes after the caller was told otherwise.
TEST_CASE_METHOD(control_client_fixture,
                 "control client / faults of claims / one true answer each") {
  AnswerBeats();
  Claim();
  Claim();
  REQUIRE(requests_.size() == 2);
  const std::uint64_t first = requests_[0].number;
  const std::uint64_t second = requests_[1].number;
  const ledger_claim_reply_message exists{claim_outcome::exists, {}};
  SECTION("doubled answer") {
    Reply(first, Accepted());
    Reply(first, Accepted());
    CHECK(claims_.size() == 1);
  }
  SECTION("crossed answers") {
    Reply(second, exists);
    Reply(first, Accepted());
    REQUIRE(claims_.size() == 2);
    CHECK(claims_[0]->outcome == claim_outcome::exists);
    CHECK(claims_[1]->outcome == claim_outcome::accepted);
  }
  SECTION("lost answer is asked for again under the same number") {
    Pass(milliseconds(500), true);
    REQUIRE(requests_.size() == 4);
    CHECK(requests_[2].number == first);
    Reply(first, Accepted());
    CHECK(claims_.size() == 1);
  }
  SECTION("no answer in time") {
    Pass(milliseconds(2000), true);
    REQUIRE(claims_.size() == 2);
    CHECK_FALSE(claims_[0].has_value());
    Reply(first, Accepted());
    CHECK(claims_.size() == 2);
  }
  SECTION("damaged frame") {
    client_.OnFrame({80, "x"});
    CHECK(claims_.empty());
  }
}

// Guards against a submission that stays on record as running although its
// caller was told that nothing ran.
TEST_CASE_METHOD(
    control_client_fixture,
    "control client / claim accepted too late / is ended not-run") {
  AnswerBeats();
  Claim();
  Pass(milliseconds(2100), true);
  REQUIRE(claims_.size() == 1);
  Reply(requests_.back().number, Accepted());
  Pass(milliseconds(100), true);
  const auto& finish = std::get<ledger_finish_message>(requests_.back().body);
  CHECK(finish.state == ledger_state::failed);
  CHECK(finish.failure.outcome == run_outcome::not_run);
}

// Guards against a process that stays with a control process that cannot serve
// it, and against one that dials in a circle at full speed.
TEST_CASE_METHOD(control_client_fixture,
                 "control client / no leader at the address / moves on") {
  const auto beat = [this] { return sent_.back().number; };
  SECTION("named leader") {
    Reply(beat(), not_leader_message{"127.0.0.1:9"});
    CHECK(dialled_ == std::vector{1});
    Pass(control_client::kMinStay, false);
    CHECK(dialled_ == std::vector{1, 9});
  }
  SECTION("an earlier answer without a name does not hide the leader") {
    Reply(beat(), not_leader_message{"127.0.0.1:9"});
    Reply(beat(), not_leader_message{});
    Reply(beat(), not_leader_message{});
    Pass(control_client::kMinStay, false);
    CHECK(dialled_ == std::vector{1, 9});
  }
  SECTION("election in progress, then cut off") {
    Reply(beat(), not_leader_message{});
    Pass(control_client::kElectionPause, false);
    CHECK(dialled_ == std::vector{1});
    Reply(beat(), not_leader_message{});
    Pass(control_client::kTickPeriod, false);
    CHECK(dialled_ == std::vector{1, 2});
  }
  SECTION("silent connection") {
    Pass(control_client::kSilenceLimit, false);
    CHECK(dialled_ == std::vector{1, 2});
    CHECK_FALSE(client_.LeaderReachable());
  }
  SECTION("connection closed") {
    client_.OnClosed();
    Pass(control_client::kMinStay, false);
    CHECK(dialled_ == std::vector{1, 2});
  }
  SECTION("nobody answers for long") {
    client_.OnClosed();
    Pass(milliseconds(30000), false);
    CHECK(dialled_.size() < 70);
    CHECK(std::set<int>(dialled_.begin(), dialled_.end()).size() == 3);
  }
  SECTION("the leader answers") {
    Pass(milliseconds(30000), true);
    CHECK(dialled_.size() == 1);
    CHECK(client_.LeaderReachable());
  }
}

// Guards against a request that is lost with the leader that got it.
TEST_CASE_METHOD(control_client_fixture,
                 "control client / leader changes / open requests follow") {
  AnswerBeats();
  Claim();
  requests_.clear();
  Reply(99, not_leader_message{"127.0.0.1:9"});
  Pass(control_client::kMinStay, false);
  client_.OnConnected();
  sent_ = {sent_.back()};
  CHECK(requests_.empty());
  AnswerBeats();
  REQUIRE(requests_.size() == 1);
  Reply(requests_[0].number, Accepted());
  CHECK(claims_.size() == 1);
}

// Guards against a site that stays at an old version, and against a full
// ledger that drives the client away from the leader.
TEST_CASE_METHOD(control_client_fixture,
                 "control client / heartbeat reply / is acted on at once") {
  SECTION("newer version") {
    AnswerBeats(300);
    AnswerBeats(300);
    REQUIRE(requests_.size() == 1);
    Reply(requests_[0].number,
          fetch_config_reply_message{config_version(300), "{}"});
    CHECK(version_ == config_version(300));
    Pass(milliseconds(3000), true);
    CHECK(requests_.size() == 1);
  }
  SECTION("entries and takeovers") {
    Reply(sent_.back().number, heartbeat_reply_message{{}, {{}}, {{}, {}}});
    CHECK(entries_ == 1);
    CHECK(taken_.size() == 2);
  }
  SECTION("claim refused by the leader itself") {
    AnswerBeats();
    Claim();
    for (int i = 0; i < 5; ++i) {
      Reply(requests_.back().number, not_leader_message{});
    }
    Pass(milliseconds(1000), true);
    CHECK(dialled_.size() == 1);
    CHECK(claims_.empty());
  }
}

}  // namespace
}  // namespace almond
