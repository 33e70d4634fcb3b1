#include "libalmond/processes/run_agent_process.h"

#include <catch2/catch.hpp>

#include "libalmond/net/http_client.h"
#include "libalmond/net/peer_listener.h"
#include "libalmond/wire/control_codec.h"
#include "libalmond/wire/run_codec.h"

namespace almond {
namespace {

const socket_address kAnyPort{"127.0.0.1", 0};

/// An agent with a fake endpoint, fake entries and a fake control leader, over
/// loopback.
class run_agent_fixture {
 protected:
  static constexpr std::size_t kEntries = 12;

  struct fake_entry {
    std::unique_ptr<peer_listener> listener;
    std::shared_ptr<peer_link> link;
    std::size_t accepted = 0;
    std::optional<endpoint_state> state;
    std::vector<run_end> ends;
  };

  run_agent_fixture()
      : leader_(loop_, clock_, [this](const std::shared_ptr<peer_link>& link) {
          client_ = link;
          link->Start({[this](const frame& encoded) { OnRequest(encoded); },
                       [](const std::string&) {}});
        }) {
    REQUIRE(leader_.Listen(kAnyPort));
    for (std::size_t i = 0; i < kEntries; ++i) AddEntry();
    run_agent_settings settings;
    settings.id = agent_id("a1");
    settings.data_centre = data_centre_id("d0");
    settings.listen_http = settings.listen_metrics = kAnyPort;
    settings.control = {leader_.Address()};
    settings.control_timing = {milliseconds(100), milliseconds(2000),
                               milliseconds(50)};
    agent_ = std::make_unique<run_agent_process>(loop_, clock_, settings,
                                                 Interface());
    REQUIRE(agent_->Start() == std::nullopt);
    Announce();
  }

  void AddEntry() {
    fake_entry& entry = *entries_.emplace_back(std::make_unique<fake_entry>());
    entry.listener = std::make_unique<peer_listener>(
        loop_, clock_,
        [&entry](const std::shared_ptr<peer_link>& link) {
          ++entry.accepted;
          entry.link = link;
          link->Start(
              {[&entry](const frame& encoded) { OnFrame(entry, encoded); },
               [&entry](const std::string&) { entry.link.reset(); }});
        },
        kRunLinkTiming);
    REQUIRE(entry.listener->Listen(kAnyPort));
  }
  static void OnFrame(fake_entry& entry, const frame& encoded) {
    const auto message = DecodeAgentRunMessage(encoded);
    REQUIRE(message);
    if (const auto* state = std::get_if<endpoint_state>(&*message)) {
      entry.state = *state;
    } else {
      entry.ends.push_back(std::get<run_end>(*message));
    }
  }
  void OnRequest(const frame& encoded) {
    const auto request = DecodeControlRequest(encoded);
    REQUIRE(request);
    heartbeat_reply_message reply;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      reply.entries.push_back({entry_id("e" + std::to_string(i)),
                               incarnation_id(1),
                               data_centre_id("d" + std::to_string(i % 2)),
                               entries_[i]->listener->Address().ToString()});
    }
    reply.alike_agents = alike_agents_;
    reply.evacuations = evacuations_;
    kind_ = std::get<heartbeat_message>(request->body).endpoint_kind;
    client_->Send(EncodeControlReply(request->number, reply));
  }
  endpoint_interface Interface() {
    endpoint_interface result;
    result.decode = [](const http_request&) {
      leased_endpoint endpoint;
      endpoint.id = endpoint_id("m");
      endpoint.service = service_id("s");
      endpoint.incarnation = 1;
      endpoint.sequence = 1;
      endpoint.total = {16000, 1000, 0};
      return std::variant<leased_endpoint, endpoint_departure, http_response>(
          endpoint);
    };
    result.acknowledge = [] { return http_response{}; };
    result.start = [this](const auto&, const run_start& start, std::uint64_t,
                          milliseconds, const auto& reply) {
      running_.push_back(start.key);
      reply(start_reply::started);
    };
    result.stop = [this](const auto&, const run_key& key, std::uint64_t,
                         const auto& reply) {
      stopped_.push_back(key);
      reply(true);
    };
    result.renew = [this](const auto&, const lease_renewal&,
                          const auto& reply) {
      loop_.Post(milliseconds(20), [this, reply] {
        lease_reply lists;
        lists.incarnation = 1;
        for (const run_key& key : running_) lists.running.push_back({key});
        reply(lists);
      });
    };
    return result;
  }
  void Announce() {
    // The decoder above ignores the request.
    bool sent = false;
    SendHttpRequest(loop_, agent_->HttpAddress(), {"PUT", "/", "", {}, ""},
                    milliseconds(20000),
                    [&sent](const http_call_result&) { sent = true; });
    RunUntil([&sent] { return sent; });
  }
  void RunUntil(const std::function<bool()>& condition) {
    bool met = false;
    const auto poll = loop_.Every(milliseconds(5), [&] {
      met = condition();
      if (met) loop_.Stop();
    });
    const auto guard =
        loop_.After(std::chrono::seconds(60), [this] { loop_.Stop(); });
    loop_.Run();
    REQUIRE(met);
  }
  std::size_t Connected() const {
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(),
        [](const auto& entry) { return entry->link != nullptr; }));
  }
  void Start(fake_entry& entry) {
    RunUntil([&entry] { return entry.state && entry.state->accepting; });
    run_start start;
    start.endpoint = endpoint_id("m");
    start.key = {job_id("j"), 0, 0, 0, 1};
    start.service = service_id("s");
    start.needed = {1000, 10, 0};
    start.newest_timestamp = entry.state->timestamp;
    start.order = 1;
    entry.link->Send(EncodeEntryRunMessage(start));
    RunUntil([this] { return !running_.empty(); });
  }

  event_loop loop_;
  system_clock clock_;
  peer_listener leader_;
  std::shared_ptr<peer_link> client_;
  std::uint32_t alike_agents_ = 0;
  evacuation_list evacuations_;
  std::string kind_;
  std::vector<std::unique_ptr<fake_entry>> entries_;
  std::vector<run_key> running_;
  std::vector<run_key> stopped_;
  std::unique_ptr<run_agent_process> agent_;
};

// Guards against agents that send their state to every entry.
TEST_CASE_METHOD(run_agent_fixture,
                 "run agent / number of agents unknown, then large / connected "
                 "to few entries") {
  RunUntil([this] { return Connected() == entry_subset::kDefaultEntries; });
  RunUntil([this] { return !kind_.empty(); });
  CHECK(kind_ == "s 16000 1000 0;");
  alike_agents_ = 4000;
  RunUntil([this] { return Connected() == entry_subset::kMinEntries; });
}

// Guards against a run that is stopped because its entry is not chosen any
// more.
TEST_CASE_METHOD(run_agent_fixture,
                 "run agent / link with a run no longer chosen / takes no "
                 "starts, closed after the run") {
  alike_agents_ = 1;
  RunUntil([this] { return Connected() == kEntries; });
  // Finds an entry that the agent leaves.
  std::vector<entry_address> all;
  for (std::size_t i = 0; i < kEntries; ++i) {
    all.push_back({entry_id("e" + std::to_string(i)), incarnation_id(1),
                   data_centre_id("d" + std::to_string(i % 2)), ""});
  }
  entry_subset subset(clock_, agent_id("a1"), data_centre_id("d0"),
                      {[](const entry_address&) { return false; }});
  subset.Update(all, 4000);
  std::size_t left = 0;
  while (std::any_of(subset.Chosen().begin(), subset.Chosen().end(),
                     [&](const entry_address& chosen) {
                       return chosen.entry == all[left].entry;
                     })) {
    ++left;
  }
  fake_entry& entry = *entries_[left];
  Start(entry);
  alike_agents_ = 4000;
  RunUntil([this] { return Connected() == entry_subset::kMinEntries + 1; });
  REQUIRE(entry.link != nullptr);
  CHECK_FALSE(entry.state->accepting);
  CHECK(stopped_.empty());
  CHECK(entry.ends.empty());
}

// A leader that is not up to date must not take an evacuation back.
TEST_CASE_METHOD(
    run_agent_fixture,
    "run agent / evacuated, then an older list / accepts again only "
    "after the withdrawal") {
  alike_agents_ = 1;  // connected to all entries
  fake_entry& entry = *entries_.front();
  Start(entry);
  evacuations_ = {evacuation_revision(5), {data_centre_id("d0")}};
  RunUntil([&entry] { return !entry.state->accepting; });
  evacuations_ = {evacuation_revision(4), {}};
  bool passed = false;
  loop_.Post(milliseconds(500), [&passed] { passed = true; });
  RunUntil([&passed] { return passed; });
  CHECK_FALSE(entry.state->accepting);
  CHECK(stopped_.empty());
  evacuations_ = {evacuation_revision(6), {}};
  RunUntil([&entry] { return entry.state->accepting; });
}

}  // namespace
}  // namespace almond
