#include <catch2/catch.hpp>

#include "libalmond/processes/agent_entry_links.h"
#include "libalmond/processes/entry_links.h"
#include "libalmond/wire/dispatch_codec.h"
#include "net/raw_connection.h"

namespace almond {
namespace {

const socket_address kAnyPort{"127.0.0.1", 0};

std::string Bytes(const frame& message) {
  const auto length = static_cast<std::uint32_t>(message.payload.size() + 1);
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>((length >> shift) & 0xFFU));
  }
  bytes.push_back(static_cast<char>(message.type));
  return bytes + message.payload;
}

// Guards against connections to an entry that are held open without an
// announcement.
TEST_CASE("entry links / no announcement in time / only that one is closed") {
  event_loop loop;
  system_clock clock;
  metrics_registry metrics;
  int announced = 0;
  int closed = 0;
  entry_links links(loop, clock, metrics,
                    {[&](link_id, const agent_message&) { ++announced; },
                     [&](link_id) { ++closed; }},
                    milliseconds(100));
  REQUIRE(links.Listen(kAnyPort));
  raw_connection agent(loop, links.Address());
  REQUIRE(agent.Write(Bytes(EncodeAgentMessage(announce_message{}))));
  auto poll = loop.Every(milliseconds(1), [&] {
    if (announced == 1) loop.Stop();
  });
  loop.Run();
  poll.Reset();
  raw_connection stranger(loop, links.Address());
  REQUIRE(stranger.Connected());
  // Only an announcement keeps the connection open.
  REQUIRE(stranger.Write(Bytes(EncodeAgentMessage(recall_message{}))));
  stranger.ReadToEnd();
  CHECK(closed == 1);
  CHECK(links.size() == 1);
  agent.Read();
  CHECK_FALSE(agent.Closed());
}

// Guards against an entry or agent that keeps a connection open after it has
// received a damaged frame.
TEST_CASE("peer frames / damaged / closed by entry and by agent") {
  event_loop loop;
  system_clock clock;
  metrics_registry metrics;
  const frame damaged = GENERATE(frame{1, "\x7f\x7f"}, frame{0xE0, "x"});
  INFO("type " << int{damaged.type});
  const auto bad = [&] {
    return metrics.Counter("almond_bad_frames_total").Value();
  };
  SECTION("entry") {
    int closed = 0;
    entry_links links(
        loop, clock, metrics,
        {[](link_id, const agent_message&) {}, [&](link_id) { ++closed; }});
    REQUIRE(links.Listen(kAnyPort));
    raw_connection agent(loop, links.Address());
    REQUIRE(agent.Write(Bytes(damaged)));
    agent.ReadToEnd();
    CHECK(closed == 1);
    CHECK(bad() == 1);
  }
  SECTION("agent, which reconnects") {
    std::vector<std::shared_ptr<peer_link>> accepted;
    peer_listener entry(loop, clock, [&](std::shared_ptr<peer_link> link) {
      link->Start({[](const frame&) {}, [](const std::string&) {}});
      if (accepted.empty()) {
        link->Send(damaged);
        link->Send(damaged);
      }
      accepted.push_back(std::move(link));
    });
    REQUIRE(entry.Listen(kAnyPort));
    int connected = 0;
    int closed = 0;
    agent_entry_links links(
        loop, clock, metrics,
        {[&](link_id) {
           if (++connected == 2) loop.Stop();
         },
         [&](link_id) { ++closed; }, [](link_id, const entry_message&) {}});
    links.SetEntries({entry.Address()});
    loop.Run();
    CHECK(connected == 2);
    CHECK(closed == 1);
    CHECK(bad() == 1);
    CHECK(links.Connected() == 1);
  }
}

}  // namespace
}  // namespace almond
