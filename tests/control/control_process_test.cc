#include "libalmond/processes/control_process.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "control/port_reservation.h"
#include "libalmond/core/digest.h"
#include "libalmond/net/http_client.h"
#include "libalmond/processes/control_client_link.h"
#include "libalmond/processes/control_process_codec.h"
#include "libalmond/processes/replica_assignment.h"

namespace almond {
namespace {

/// A cluster of three control processes and the control client of an entry,
/// over loopback.
class control_process_fixture {
 protected:
  static constexpr std::size_t kReplicas = 3;
  static constexpr std::size_t kMaxPlaces = 5;

  control_process_fixture() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "control.XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    limit_ = loop_.After(std::chrono::seconds(60), [this] {
      timed_out_ = true;
      loop_.Stop();
    });
    for (std::size_t i = 0; i < kReplicas; ++i) {
      replicas_.push_back({"c" + std::to_string(i), ports_.Reserve(),
                           ports_.Reserve(), ports_.Reserve()});
      addresses_.push_back(replicas_.back().control);
    }
    for (std::size_t i = 0; i < kReplicas; ++i) Start(i, true);
    StartClient();
  }
  ~control_process_fixture() {
    client_.reset();
    processes_.clear();
    std::filesystem::remove_all(folder_);
  }

  void ReleasePorts(const control_address& addresses) {
    ports_.Release(addresses.peer);
    ports_.Release(addresses.control);
    ports_.Release(*addresses.http);
  }
  void Start(std::size_t index, bool bootstrap) {
    const control_address& self = replicas_[index];
    ReleasePorts(self);
    processes_[index] = std::make_unique<control_process>(
        loop_, clock_,
        control_settings{self.id, "test", data_centre_id("nl-west-1"),
                         replicas_, self.peer, self.control, *self.http,
                         folder_ + "/" + self.id, bootstrap, kMaxPlaces});
    REQUIRE(processes_[index]->Start() == std::nullopt);
  }
  /// Claims a new place and starts a process there.
  void StartAtNewPlace() {
    const std::size_t index = replicas_.size();
    replicas_.push_back({"place-" + std::to_string(index + 1), ports_.Reserve(),
                         ports_.Reserve(), ports_.Reserve(), false, true});
    const control_address& own = replicas_.back();
    PostClaim({{own.id, own.peer.ToString(), own.control.ToString(),
                own.http->ToString()},
               ""});
    Start(index, false);
  }
  std::size_t CountAdmitted() {
    std::optional<http_call_result> end;
    SendHttpRequest(loop_, *replicas_[Leader()].http,
                    {"GET", "/v1/replicas", "", {}, ""}, milliseconds(20000),
                    [&end](const http_call_result& result) { end = result; });
    RunUntil([&end] { return end.has_value(); });
    const auto replicas = ParseReplicaLiveness(end->response.body);
    if (!replicas) return 0;
    return static_cast<std::size_t>(
        std::count_if(replicas->begin(), replicas->end(),
                      [](const auto& replica) { return replica.admitted; }));
  }
  void StartClient() {
    client_ = std::make_unique<control_client_link>(
        loop_, clock_, metrics_, addresses_,
        control_client::hooks{
            {},
            {},
            [this] {
              heartbeat_message beat;
              beat.id = "e1";
              beat.incarnation = incarnation_id(5);
              beat.peer_address = "127.0.0.1:1";
              beat.version = version_;
              return beat;
            },
            [this](const std::vector<entry_address>& entries) {
              entries_ = entries;
            },
            [](const ledger_record&) {},
            [](config_version) {},
            [this](config_version version, const std::string& document) {
              version_ = version;
              document_ = document;
            }});
  }
  std::size_t Leader() {
    std::size_t leader = kReplicas;
    RunUntil([this, &leader] {
      for (const auto& [index, process] : processes_) {
        if (process->IsLeader()) leader = index;
      }
      return leader != kReplicas;
    });
    return leader;
  }
  void RunUntil(const std::function<bool()>& done) {
    const event_handle poll = loop_.Every(milliseconds(10), [this, &done] {
      if (done()) loop_.Stop();
    });
    while (!done() && !timed_out_) loop_.Run();
    REQUIRE_FALSE(timed_out_);
  }
  void RunFor(milliseconds time) {
    loop_.Post(time, [this] { loop_.Stop(); });
    loop_.Run();
  }
  nlohmann::json Call(const std::string& method, const std::string& body) {
    std::optional<http_call_result> end;
    SendHttpRequest(loop_, *replicas_[Leader()].http,
                    {method, "/v1/config", "", {}, body}, milliseconds(20000),
                    [&end](const http_call_result& result) { end = result; });
    RunUntil([&end] { return end.has_value(); });
    REQUIRE(end->response.status == 200);
    return nlohmann::json::parse(end->response.body);
  }
  void PostClaim(const replica_claim& claim) {
    std::optional<http_call_result> end;
    SendHttpRequest(
        loop_, *replicas_[Leader()].http,
        {"POST", "/v1/replicas/claim", "", {}, EncodeReplicaClaim(claim)},
        milliseconds(20000),
        [&end](const http_call_result& result) { end = result; });
    RunUntil([&end] { return end.has_value(); });
    REQUIRE(end->response.status == 200);
  }
  std::optional<ledger_claim_reply_message> Claim(
      const ledger_claim_message& claim) {
    std::optional<ledger_claim_reply_message> reply;
    bool ended = false;
    client_->Client().Claim(claim, milliseconds(20000),
                            [&](const auto& answer) {
                              reply = answer;
                              ended = true;
                            });
    RunUntil([&ended] { return ended; });
    return reply;
  }

  event_loop loop_;
  system_clock clock_;
  metrics_registry metrics_;
  std::string folder_;
  bool timed_out_ = false;
  event_handle limit_;
  std::vector<control_address> replicas_;
  std::vector<socket_address> addresses_;
  port_reservation ports_;
  std::map<std::size_t, std::unique_ptr<control_process>> processes_;
  std::unique_ptr<control_client_link> client_;
  std::vector<entry_address> entries_;
  config_version version_;
  std::string document_;
};

// Guards against control processes and a client that do not work together, and
// against state that is lost with a process.
TEST_CASE_METHOD(control_process_fixture,
                 "control process / configuration and claim / reach the entry "
                 "and survive the leader") {
  RunUntil([this] { return !entries_.empty(); });
  CHECK(entries_[0].incarnation == incarnation_id(5));
  const std::string base =
      "data_centres: [nl-west-1]\n"
      "teams:\n  geurproef: {weight: 4}\n"
      "services:\n  geurmatch: {team: geurproef}\n";
  const nlohmann::json change = {
      {"base", base},
      {"expect_version", 0},
      {"change_id", "01900000-0000-7000-8000-000000000001"}};
  const nlohmann::json accepted = Call("POST", change.dump());
  CHECK(accepted["version"] == 1);
  RunUntil([this] { return version_ == config_version(1); });
  CHECK(config_document::Parse(document_)->base == base);
  std::mt19937_64 random(1);
  const ledger_claim_message claim{uuid::MakeV7(clock_.WallNow(), random),
                                   Sha256({"content"}),
                                   service_id("geurmatch"),
                                   2,
                                   entry_id("e1"),
                                   incarnation_id(5),
                                   clock_.WallNow()};
  const auto first = Claim(claim);
  REQUIRE(first.has_value());
  CHECK(first->outcome == claim_outcome::accepted);

  SECTION("the leader ends") { processes_.erase(Leader()); }
  SECTION("all replicas and the entry restart") {
    client_.reset();
    processes_.clear();
    for (std::size_t i = 0; i < kReplicas; ++i) Start(i, false);
    StartClient();
  }
  CHECK(Claim(claim)->record == first->record);
  CHECK(Call("POST", change.dump()) == accepted);
  CHECK(Call("GET", "")["digest"] == accepted["digest"]);
}

// Guards against a replacement process that waits for the leader, while the
// leader sends to the address of the replaced process.
TEST_CASE_METHOD(control_process_fixture,
                 "control process / replaced at another address / joins and "
                 "all replicas know its address") {
  Leader();
  processes_.erase(2);
  std::filesystem::remove_all(folder_ + "/" + replicas_[2].id);
  const control_address moved_to{replicas_[2].id, ports_.Reserve(),
                                 ports_.Reserve(), ports_.Reserve()};
  ReleasePorts(moved_to);
  control_settings settings{
      moved_to.id,    "test",           data_centre_id("nl-west-1"),
      replicas_,      moved_to.peer,    moved_to.control,
      *moved_to.http, folder_ + "/new", false};
  processes_[2] =
      std::make_unique<control_process>(loop_, clock_, std::move(settings));
  REQUIRE(processes_[2]->Start() == std::nullopt);
  const auto moved = [this](std::size_t index) {
    return processes_[index]->State().MovedReplicas().contains(replicas_[2].id);
  };
  RunUntil([&] { return moved(0) && moved(1) && moved(2); });
  CHECK(processes_.size() == 3);
}

// Guards against a process that stays without a place, while another process
// receives the log for it.
TEST_CASE_METHOD(control_process_fixture,
                 "control process / place given to another before admission / "
                 "ends as replaced") {
  Leader();
  processes_.erase(2);
  std::filesystem::remove_all(folder_ + "/" + replicas_[2].id);
  PostClaim({{replicas_[2].id, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"},
             replicas_[2].peer.ToString()});
  // The others stop dialling the old address at their next tick.
  RunFor(3 * control_service::kTickPeriod);
  bool replaced = false;
  Start(2, false);
  processes_[2]->OnReplaced([&replaced] { replaced = true; });
  RunUntil([&replaced] { return replaced; });
  CHECK(processes_[2]->State().MovedReplicas().empty());
}

// Guards against a restarted process that takes its place back from the process
// that has claimed it, which is then replaced by an empty disk.
TEST_CASE_METHOD(control_process_fixture,
                 "control process / restarted after its place was claimed / "
                 "takes it back only if the other process does not join") {
  Leader();
  const std::size_t index = Leader() == 2 ? 1 : 2;
  const control_address& old = replicas_[index];
  processes_.erase(index);
  const replica_claim claim{
      {old.id, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"},
      old.peer.ToString()};
  PostClaim(claim);
  const auto recorded_at = [this, &old](const std::string& peer) {
    const auto& moved = processes_[0]->State().MovedReplicas();
    const auto move = moved.find(old.id);
    return move != moved.end() && move->second.peer == peer;
  };
  RunUntil([&] { return recorded_at(claim.addresses.peer); });
  const steady_time start = clock_.SteadyNow();
  Start(index, false);
  RunUntil([&] { return recorded_at(old.peer.ToString()); });
  CHECK(clock_.SteadyNow() - start >= kReplicaLossTimeout);
}

// Guards against a process at a new place that the replicas do not accept, and
// against replicas that do not know its address after a restart.
TEST_CASE_METHOD(control_process_fixture,
                 "control process / two processes claim new places / both are "
                 "admitted and their addresses reported") {
  std::vector<control_address> reported;
  processes_.at(0)->OnAddresses([&](const auto& known) { reported = known; });
  StartAtNewPlace();
  RunFor(milliseconds(1500));
  CHECK(CountAdmitted() == 3);
  StartAtNewPlace();
  while (CountAdmitted() < 5) RunFor(milliseconds(100));
  RunUntil([&reported] { return reported.size() == 5; });
  CHECK(reported == replicas_);
}

}  // namespace
}  // namespace almond
