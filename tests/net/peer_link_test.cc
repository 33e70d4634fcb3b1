#include "libalmond/net/peer_link.h"

#include <catch2/catch.hpp>

#include "libalmond/net/peer_dialer.h"
#include "libalmond/net/peer_listener.h"
#include "net/raw_connection.h"

namespace almond {
namespace {

const socket_address kAnyPort{"127.0.0.1", 0};

std::string Header(std::uint32_t length, std::uint8_t type) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>((length >> shift) & 0xFFU));
  }
  bytes.push_back(static_cast<char>(type));
  return bytes;
}

/// A listener that records the frames of its links and the reason of their end.
class peer_link_fixture {
 protected:
  peer_link_fixture()
      : listener_(loop_, clock_, [this](std::shared_ptr<peer_link> link) {
          link_ = std::move(link);
          link_->Start({[this](const frame& message) {
                          frames_.push_back(message);
                          loop_.Stop();
                        },
                        [this](const std::string& reason) {
                          reason_ = reason;
                          loop_.Stop();
                        }});
        }) {
    REQUIRE(listener_.Listen(kAnyPort));
  }

  event_loop loop_;
  manual_clock clock_;
  std::shared_ptr<peer_link> link_;
  std::vector<frame> frames_;
  std::string reason_;
  peer_listener listener_;
};

struct frame_case {
  const char* name;
  std::uint32_t length;
  std::uint8_t type;
  const char* reason;
};

// Guards against a frame that exhausts memory or is silently skipped.
TEST_CASE_METHOD(peer_link_fixture, "peer frame / bad header / closed") {
  const std::uint32_t most = kMaxFramePayload + 1;
  const auto row = GENERATE_COPY(
      frame_case{"no type", 0, 1, "out of bounds"},
      frame_case{"one above the limit", most + 1, 1, "out of bounds"},
      frame_case{"largest number", UINT32_MAX, 1, "out of bounds"},
      frame_case{"unknown link type", 1, 0xFF, "unknown type"});
  INFO(row.name);
  raw_connection peer(loop_, listener_.Address());
  REQUIRE(peer.Write(Header(row.length, row.type)));
  loop_.Run();
  CHECK(reason_.find(row.reason) != std::string::npos);
  CHECK(frames_.empty());
  CHECK_FALSE(link_->Open());
  peer.ReadToEnd();
  CHECK(peer.Closed());
}

// Guards against frames that depend on how TCP splits the bytes.
TEST_CASE_METHOD(peer_link_fixture,
                 "peer frame / split at every byte / arrives complete") {
  const std::string bytes = Header(4, 7) + "abc" + Header(1, 9);
  for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
    INFO("cut " << cut);
    frames_.clear();
    raw_connection peer(loop_, listener_.Address());
    REQUIRE(peer.Write(bytes.substr(0, cut)));
    // The rest is written after the loop has read the first part.
    loop_.Post(milliseconds(2), [&] { peer.Write(bytes.substr(cut)); });
    while (frames_.size() < 2) loop_.Run();
    CHECK(frames_[0].type == 7);
    CHECK(frames_[0].payload == "abc");
    CHECK(frames_[1].type == 9);
    CHECK(frames_[1].payload.empty());
  }
}

// Guards against a limit below the size of the largest job answer.
TEST_CASE_METHOD(peer_link_fixture, "peer frame / largest payload / arrives") {
  std::unique_ptr<peer_dialer> dialer;
  peer_dialer::hooks hooks;
  hooks.on_connected = [&] {
    dialer->Send({3, std::string(kMaxFramePayload, 'x')});
  };
  hooks.on_frame = [](const frame&) {};
  hooks.on_closed = [](const std::string&) {};
  dialer = std::make_unique<peer_dialer>(loop_, clock_, listener_.Address(),
                                         std::move(hooks));
  loop_.Run();
  REQUIRE(frames_.size() == 1);
  CHECK(frames_[0].payload.size() == kMaxFramePayload);
}

// Guards against a dead connection that is never closed.
TEST_CASE_METHOD(peer_link_fixture, "peer link / silent for 3 s / closed") {
  raw_connection peer(loop_, listener_.Address());
  REQUIRE(peer.Write(Header(1, 7)));
  loop_.Run();
  REQUIRE(frames_.size() == 1);
  clock_.Advance(peer_link::kReceiveTimeout + milliseconds(1));
  loop_.Run();
  CHECK(reason_.find("silent") != std::string::npos);
}

}  // namespace
}  // namespace almond
