#include "libalmond/processes/control_client.h"

#include <catch2/catch.hpp>
#include <set>

#include "libalmond/wire/control_codec.h"

namespace almond {
namespace {

using answers = std::vector<std::optional<ledger_claim_reply_message>>;

/// A client with a connection simulated by the test.
class control_client_fixture {
 protected:
  control_client_fixture() {
    client_.Tick();
    client_.OnConnected();
  }

  control_client::hooks Hooks() {
    return {
        [this](const socket_address& to) { dialled_ports_.push_back(to.port); },
        [this](const frame& message) {
          sent_.push_back(DecodeControlRequest(message).value());
        },
        [this] {
          heartbeat_message heartbeat;
          heartbeat.version = version_;
          return heartbeat;
        },
        [this](const auto& entries) { entries_ = entries.size(); },
        [this](const ledger_record& record) { takeovers_.push_back(record); },
        [](config_version) {},
        [this](config_version version, const std::string&) {
          version_ = std::max(version_, version);
        }};
  }
  void Reply(std::uint64_t number, const control_reply& reply) {
    client_.OnFrame(EncodeControlReply(number, reply));
  }
  // Replies to all heartbeats as the leader.
  void AnswerHeartbeats(std::uint64_t newest = 0) {
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
  void AdvanceBy(milliseconds time, bool leader_answers) {
    for (; time.count() > 0; time -= control_client::kTickPeriod) {
      clock_.Advance(control_client::kTickPeriod);
      client_.Tick();
      if (leader_answers) AnswerHeartbeats();
    }
  }
  void Claim() {
    ledger_claim_message claim;
    claim.task_count = 4;
    client_.Claim(claim, milliseconds(2000),
                  [this](const auto& answer) { claims_.push_back(answer); });
    AnswerHeartbeats();
  }
  static ledger_claim_reply_message Accepted() {
    ledger_claim_reply_message reply{claim_outcome::accepted, {}};
    reply.record.epoch = owner_epoch(1);
    return reply;
  }

  manual_clock clock_;
  metrics_registry metrics_;
  std::vector<int> dialled_ports_;
  std::vector<numbered_control_request> sent_;
  std::vector<numbered_control_request> requests_;  // without heartbeats
  config_version version_;
  std::size_t entries_ = 0;
  std::vector<ledger_record> takeovers_;
  answers claims_;
  control_client client_{clock_,
                         metrics_,
                         {{"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}},
                         Hooks()};
};

// Guards against wrong results when the reply to a claim is lost, duplicated or
// out of order, and against a reply that is passed on after the caller got the
// timeout.
TEST_CASE_METHOD(control_client_fixture,
                 "control client / faulty replies to claims / one correct "
                 "result each") {
  AnswerHeartbeats();
  Claim();
  Claim();
  REQUIRE(requests_.size() == 2);
  const std::uint64_t first = requests_[0].number;
  const std::uint64_t second = requests_[1].number;
  const ledger_claim_reply_message exists{claim_outcome::exists, {}};
  SECTION("duplicate reply") {
    Reply(first, Accepted());
    Reply(first, Accepted());
    CHECK(claims_.size() == 1);
  }
  SECTION("replies out of order") {
    Reply(second, exists);
    Reply(first, Accepted());
    REQUIRE(claims_.size() == 2);
    CHECK(claims_[0]->outcome == claim_outcome::exists);
    CHECK(claims_[1]->outcome == claim_outcome::accepted);
  }
  SECTION("lost reply, request resent with the same number") {
    AdvanceBy(milliseconds(500), true);
    REQUIRE(requests_.size() == 4);
    CHECK(requests_[2].number == first);
    Reply(first, Accepted());
    CHECK(claims_.size() == 1);
  }
  SECTION("timeout") {
    AdvanceBy(milliseconds(2000), true);
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

// Guards against a submission that the ledger keeps as running although its
// caller got "not-run".
TEST_CASE_METHOD(
    control_client_fixture,
    "control client / claim accepted after its timeout / finished not-run") {
  AnswerHeartbeats();
  Claim();
  AdvanceBy(milliseconds(2100), true);
  REQUIRE(claims_.size() == 1);
  Reply(requests_.back().number, Accepted());
  AdvanceBy(milliseconds(100), true);
  const auto& finish = std::get<ledger_finish_message>(requests_.back().body);
  CHECK(finish.state == ledger_state::failed);
  CHECK(finish.failure.outcome == run_outcome::not_run);
}

// Guards against a client that stays connected to a control process without a
// leader, and against redirect loops without a rate limit.
TEST_CASE_METHOD(control_client_fixture,
                 "control client / no leader at the address / dials another") {
  const auto heartbeat_number = [this] { return sent_.back().number; };
  SECTION("named leader") {
    Reply(heartbeat_number(), not_leader_message{"127.0.0.1:9"});
    CHECK(dialled_ports_ == std::vector{1});
    AdvanceBy(control_client::kMinRedialPeriod, false);
    CHECK(dialled_ports_ == std::vector{1, 9});
  }
  SECTION("replies without a leader do not discard a redirect") {
    Reply(heartbeat_number(), not_leader_message{"127.0.0.1:9"});
    Reply(heartbeat_number(), not_leader_message{});
    Reply(heartbeat_number(), not_leader_message{});
    AdvanceBy(control_client::kMinRedialPeriod, false);
    CHECK(dialled_ports_ == std::vector{1, 9});
  }
  SECTION("election in progress, then partitioned") {
    Reply(heartbeat_number(), not_leader_message{});
    AdvanceBy(control_client::kLeaderlessRetryDelay, false);
    CHECK(dialled_ports_ == std::vector{1});
    Reply(heartbeat_number(), not_leader_message{});
    AdvanceBy(control_client::kTickPeriod, false);
    CHECK(dialled_ports_ == std::vector{1, 2});
  }
  SECTION("silent connection") {
    AdvanceBy(control_client::kReplyTimeout, false);
    CHECK(dialled_ports_ == std::vector{1, 2});
    CHECK_FALSE(client_.LeaderReachable());
  }
  SECTION("connection closed") {
    client_.OnClosed();
    AdvanceBy(control_client::kMinRedialPeriod, false);
    CHECK(dialled_ports_ == std::vector{1, 2});
  }
  SECTION("no control process reachable for 30 s") {
    client_.OnClosed();
    AdvanceBy(milliseconds(30000), false);
    CHECK(dialled_ports_.size() < 70);
    CHECK(std::set<int>(dialled_ports_.begin(), dialled_ports_.end()).size() ==
          3);
  }
  SECTION("the leader answers") {
    AdvanceBy(milliseconds(30000), true);
    CHECK(dialled_ports_.size() == 1);
    CHECK(client_.LeaderReachable());
  }
}

// Guards against a start that waits for machines that are still without power
// while others already serve, and against dials at this rate for long.
TEST_CASE_METHOD(control_client_fixture,
                 "control client / no leader since the start / other addresses "
                 "are dialled soon") {
  client_.OnClosed();
  AdvanceBy(control_client::kFastRedialPeriod, false);
  REQUIRE(dialled_ports_ == std::vector{1, 2});
  SECTION("unanswered connection attempts") {
    AdvanceBy(control_client::kFastConnectTimeout, false);
    CHECK(dialled_ports_ == std::vector{1, 2, 3});
    AdvanceBy(control_client::kFastConnectTimeout, false);
    CHECK(dialled_ports_ == std::vector{1, 2, 3, 1});
    AdvanceBy(milliseconds(10000), false);
    CHECK(dialled_ports_.size() < 30);
  }
  SECTION("refused connection") {
    client_.OnConnectFailed();
    AdvanceBy(control_client::kFastRedialPeriod, false);
    CHECK(dialled_ports_ == std::vector{1, 2, 3});
  }
  SECTION("refused connections for 10 s") {
    for (int tick = 0; tick < 400; ++tick) {
      client_.OnConnectFailed();
      AdvanceBy(control_client::kTickPeriod, false);
    }
    CHECK(dialled_ports_.size() < 110);
  }
  SECTION("redirect by the first process that is reached") {
    client_.OnConnected();
    Reply(sent_.back().number, not_leader_message{"127.0.0.1:9"});
    AdvanceBy(control_client::kFastRedialPeriod, false);
    CHECK(dialled_ports_ == std::vector{1, 2, 9});
  }
}

// Guards against a request that is lost with the leader that received it.
TEST_CASE_METHOD(control_client_fixture,
                 "control client / leader changes / open requests resent") {
  AnswerHeartbeats();
  Claim();
  requests_.clear();
  Reply(99, not_leader_message{"127.0.0.1:9"});
  AdvanceBy(control_client::kMinRedialPeriod, false);
  client_.OnConnected();
  sent_ = {sent_.back()};
  CHECK(requests_.empty());
  AnswerHeartbeats();
  REQUIRE(requests_.size() == 1);
  Reply(requests_[0].number, Accepted());
  CHECK(claims_.size() == 1);
}

// Guards against a process that stays on an old configuration version, and
// against a full ledger that makes the client leave the leader.
TEST_CASE_METHOD(control_client_fixture,
                 "control client / heartbeat reply / processed at once") {
  SECTION("newer version") {
    AnswerHeartbeats(300);
    AnswerHeartbeats(300);
    REQUIRE(requests_.size() == 1);
    Reply(requests_[0].number,
          fetch_config_reply_message{config_version(300), "{}"});
    CHECK(version_ == config_version(300));
    AdvanceBy(milliseconds(3000), true);
    CHECK(requests_.size() == 1);
  }
  SECTION("newer version that takes longer than a heartbeat period") {
    AnswerHeartbeats(300);
    for (int i = 0; i < 50; ++i) {
      clock_.Advance(control_client::kTickPeriod);
      client_.Tick();
      AnswerHeartbeats(300);
    }
    CHECK(requests_.size() == 1);
    Reply(requests_[0].number,
          fetch_config_reply_message{config_version(300), "{}"});
    CHECK(version_ == config_version(300));
  }
  SECTION("newer version refused while there is no leader") {
    AnswerHeartbeats(300);
    Reply(requests_[0].number, not_leader_message{});
    clock_.Advance(milliseconds(1000));
    client_.Tick();
    AnswerHeartbeats(300);
    CHECK(requests_.size() == 2);
  }
  SECTION("entries and takeovers") {
    Reply(sent_.back().number, heartbeat_reply_message{{}, {{}}, {{}, {}}});
    CHECK(entries_ == 1);
    CHECK(takeovers_.size() == 2);
  }
  SECTION("claim refused by the leader itself") {
    AnswerHeartbeats();
    Claim();
    for (int i = 0; i < 5; ++i) {
      Reply(requests_.back().number, not_leader_message{});
    }
    AdvanceBy(milliseconds(1000), true);
    CHECK(dialled_ports_.size() == 1);
    CHECK(claims_.empty());
  }
}

// Guards against a process that loses its list of entries, or keeps an old one,
// when the leader leaves out a list that the process has.
TEST_CASE_METHOD(control_client_fixture,
                 "control client / list of entries omitted / the last full one "
                 "is kept") {
  const auto beat = [this] {
    sent_.clear();
    client_.SendHeartbeat();
    return std::get<heartbeat_message>(sent_.back().body);
  };
  const auto reply = [this](std::size_t entries, std::uint64_t digest,
                            bool omitted) {
    heartbeat_reply_message message;
    message.entries.resize(entries);
    message.entries_digest = digest;
    message.entries_omitted = omitted;
    Reply(sent_.back().number, message);
  };
  client_.OnConnected();
  CHECK(beat().entries_digest == 0);
  reply(3, 11, false);
  CHECK(entries_ == 3);
  CHECK(beat().entries_digest == 11);
  entries_ = 0;
  reply(0, 11, true);
  CHECK(entries_ == 3);
  SECTION("a late reply that refers to an older list") {
    reply(2, 12, false);
    reply(0, 11, true);
    CHECK(entries_ == 2);
    CHECK(beat().entries_digest == 12);
  }
  SECTION("a leader of an older release, which sends no digest") {
    reply(4, 0, false);
    CHECK(entries_ == 4);
    CHECK(beat().entries_digest == 0);
  }
}

}  // namespace
}  // namespace almond
