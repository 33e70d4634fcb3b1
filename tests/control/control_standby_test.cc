#include "libalmond/processes/control_standby.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "control/port_reservation.h"
#include "libalmond/net/http_client.h"
#include "libalmond/net/peer_dialer.h"
#include "libalmond/processes/control_process_codec.h"
#include "libalmond/wire/control_codec.h"
#include "storage/temporary_folder.h"

namespace almond {
namespace {

using nlohmann::json;

/// A standby on loopback, and a leader whose answers the test chooses.
class control_standby_fixture {
 protected:
  control_standby_fixture()
      : leader_(loop_, [this](const http_request& request,
                              const http_server::responder& respond) {
          respond(AnswerAsLeader(request));
        }) {
    limit_ = loop_.After(std::chrono::seconds(30), [this] {
      timed_out_ = true;
      loop_.Stop();
    });
    REQUIRE(leader_.Listen({"127.0.0.1", 0}));
    own_ = {"", ports_.Reserve(), ports_.Reserve(), ports_.Reserve()};
    ports_.Release(own_.control);
    ports_.Release(*own_.http);
    replicas_ = {Replica("a", "leader", leader_.Address().ToString())};
    replicas_.push_back(Replica("b", "follower", "127.0.0.9:3"));
  }

  static replica_summary Replica(const std::string& id, const std::string& role,
                                 const std::string& http) {
    replica_summary replica;
    replica.id = id;
    replica.role = role;
    replica.peer = "127.0.0.9:1";
    replica.control = "127.0.0.9:2";
    replica.http = http;
    replica.silent_for = milliseconds(0);
    return replica;
  }
  static replica_summary VacantPlace() {
    replica_summary place = Replica("place-3", "follower", "");
    place.peer = place.control = "";
    place.founder = false;
    return place;
  }
  http_response AnswerAsLeader(const http_request& request) {
    if (!leader_known_) return NotLeaderResponse("");
    if (request.method == "GET") {
      waiting_peer_ = ParseWaitingQuery(request.query);
      return ReplicasResponse(config_version(1), "a", replicas_, waiting_);
    }
    claims_.push_back(DecodeReplicaClaim(request.body).value());
    return {claims_.size() <= refused_claims_ ? 409 : 200, {}, "{}"};
  }
  void Start(const std::string& data_dir, place_growth growth = {}) {
    standby_ = std::make_unique<control_standby>(
        loop_, clock_,
        control_standby::settings{own_, {leader_.Address()}, data_dir, growth},
        [this](const replica_assignment& claimed) { claimed_ = claimed; });
    REQUIRE(standby_->Start() == std::nullopt);
  }
  void RunUntil(const std::function<bool()>& done) {
    const event_handle poll = loop_.Every(milliseconds(10), [this, &done] {
      if (done()) loop_.Stop();
    });
    while (!done() && !timed_out_) loop_.Run();
    REQUIRE_FALSE(timed_out_);
  }
  void AwaitLeader() {
    RunUntil([this] { return !standby_->LeaderHttpAddress().empty(); });
  }
  void RunFor(milliseconds time) {
    loop_.Post(time, [this] { loop_.Stop(); });
    loop_.Run();
  }

  event_loop loop_;
  system_clock clock_;
  bool timed_out_ = false;
  event_handle limit_;
  http_server leader_;
  control_address own_;
  port_reservation ports_;
  std::vector<replica_summary> replicas_;
  std::vector<replica_claim> claims_;
  std::size_t refused_claims_ = 0;
  bool leader_known_ = true;
  std::size_t waiting_ = 2;
  std::optional<socket_address> waiting_peer_;
  std::optional<replica_assignment> claimed_;
  const temporary_folder folder_;
  std::unique_ptr<control_standby> standby_;
};

// Guards against entries, agents and operators that find no leader, because the
// seeds that they know have no place in the log.
TEST_CASE_METHOD(control_standby_fixture,
                 "control standby / leader known / directs processes and "
                 "operators to it") {
  Start(folder_.File("data"));
  AwaitLeader();
  std::optional<http_call_result> answer;
  SendHttpRequest(loop_, *own_.http, {"GET", "/v1/status", "", {}, ""},
                  milliseconds(5000),
                  [&answer](const http_call_result& end) { answer = end; });
  RunUntil([&answer] { return answer.has_value(); });
  CHECK(answer->response.status == 503);
  CHECK(json::parse(answer->response.body)["leader"] ==
        leader_.Address().ToString());

  std::optional<numbered_control_reply> reply;
  std::unique_ptr<peer_dialer> dialer;
  dialer = std::make_unique<peer_dialer>(
      loop_, clock_, own_.control,
      peer_dialer::hooks{[&dialer] {
                           dialer->Send(
                               EncodeControlRequest(7, heartbeat_message()));
                         },
                         [&reply](const frame& encoded) {
                           reply = DecodeControlReply(encoded);
                         },
                         [](const std::string&) {}});
  RunUntil([&reply] { return reply.has_value(); });
  CHECK(reply->number == 7);
  const auto* redirect = std::get_if<not_leader_message>(&reply->body);
  REQUIRE(redirect != nullptr);
  CHECK(redirect->leader_address == "127.0.0.9:2");
}

// Guards against a process that joins although another one has its place.
TEST_CASE_METHOD(control_standby_fixture,
                 "control standby / claim refused / asks again until it is "
                 "accepted") {
  replicas_.push_back(VacantPlace());
  refused_claims_ = 1;
  Start(folder_.File("data"));
  RunUntil([this] { return claimed_.has_value(); });
  CHECK(claims_.size() == 2);
  CHECK(claims_.back().addresses.id == "place-3");
  CHECK(claims_.back().addresses.peer == own_.peer.ToString());
  CHECK(claims_.back().expected_peer.empty());
  CHECK(claimed_->id == "place-3");
  CHECK(claimed_->replicas.size() == 3);
}

// Guards against a process that reports its address again, as if it had moved
// since the claim.
TEST_CASE_METHOD(control_standby_fixture,
                 "control standby / place of a lost replica claimed / "
                 "assignment has the claimed addresses") {
  replicas_[1].silent_for = kReplicaLossTimeout;
  Start(folder_.File("data"));
  RunUntil([this] { return claimed_.has_value(); });
  CHECK(claims_.back().expected_peer == "127.0.0.9:1");
  CHECK(claimed_->id == "b");
  CHECK(claimed_->replicas[1].peer == own_.peer);
  CHECK(claimed_->replicas[1].control == own_.control);
  CHECK(claimed_->replicas[1].http == own_.http);
}

// Guards against a standby that does not find the replicas after a restart of
// all, when the seeds have lost their disks.
TEST_CASE_METHOD(control_standby_fixture,
                 "control standby / replicas known / addresses are stored "
                 "without a place") {
  Start(folder_.File("data"));
  AwaitLeader();
  const auto stored = LoadAssignment(folder_.File("data")).value();
  REQUIRE(stored);
  CHECK(stored->id.empty());
  REQUIRE(stored->replicas.size() == 2);
  CHECK(stored->replicas.at(1).http == socket_address{"127.0.0.9", 3});
}

// Guards against a standby that forgets the replicas when the leader changes,
// and then directs nobody, because the configured processes know no leader.
TEST_CASE_METHOD(control_standby_fixture,
                 "control standby / leader changes to a process that is not "
                 "configured / found") {
  http_server successor(loop_, [this](const http_request& /*request*/,
                                      const http_server::responder& respond) {
    respond(StatusResponse(config_version(1), "b", {}, replicas_));
  });
  REQUIRE(successor.Listen({"127.0.0.1", 0}));
  replicas_.at(1).http = successor.Address().ToString();
  Start(folder_.File("data"));
  AwaitLeader();
  leader_known_ = false;
  replicas_.at(0).role = "follower";
  replicas_.at(1).role = "leader";
  RunUntil([&] {
    return standby_->LeaderHttpAddress() == successor.Address().ToString();
  });
  CHECK(claims_.empty());
}

// Guards against processes that wait while the cluster may grow.
TEST_CASE_METHOD(control_standby_fixture,
                 "control standby / all places held / claims a new place after "
                 "the delay") {
  replicas_.push_back(Replica("c", "follower", "127.0.0.9:4"));
  for (replica_summary& replica : replicas_) replica.admitted = true;
  const steady_time start = clock_.SteadyNow();
  Start(folder_.File("data"), {9, milliseconds(1500)});
  RunUntil([this] { return claimed_.has_value(); });
  CHECK(clock_.SteadyNow() - start >= milliseconds(1500));
  CHECK(waiting_peer_ == own_.peer);
  CHECK(claims_.back().addresses.id == "place-4");
  CHECK(claims_.back().expected_peer.empty());
  CHECK(claimed_->replicas.back().peer == own_.peer);
  CHECK(claimed_->replicas.back().added);
}

// Guards against growth that no setting calls for.
TEST_CASE_METHOD(control_standby_fixture,
                 "control standby / all places held, no growth configured / "
                 "claims no place") {
  replicas_.push_back(Replica("c", "follower", "127.0.0.9:4"));
  for (replica_summary& replica : replicas_) replica.admitted = true;
  Start(folder_.File("data"));
  AwaitLeader();
  RunFor(2 * assignment_finder::kIdlePeriod);
  CHECK(claims_.empty());
  CHECK_FALSE(waiting_peer_);
}

// Guards against a process without a disk that acknowledges entries.
TEST_CASE_METHOD(control_standby_fixture,
                 "control standby / no data folder / claims no place") {
  replicas_.push_back(VacantPlace());
  Start("");
  AwaitLeader();
  RunFor(2 * assignment_finder::kIdlePeriod);
  CHECK(claims_.empty());
  CHECK_FALSE(claimed_);
}

}  // namespace
}  // namespace almond
