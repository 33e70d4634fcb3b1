#include "libalmond/net/peer_link.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>

#include <array>
#include <cstring>
#include <utility>

namespace almond {
namespace {

constexpr std::uint8_t kPingFrame = kFirstLinkFrameType;
constexpr std::uint8_t kPongFrame = kFirstLinkFrameType + 1;

// A frame is the big-endian length of the rest, a type byte and the payload.
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeaderBytes = kLengthBytes + 1;

}  // namespace

std::shared_ptr<peer_link> peer_link::Create(event_loop& loop,
                                             const clock_interface& clock,
                                             int descriptor,
                                             link_timing timing) {
  return std::shared_ptr<peer_link>(
      new peer_link(loop, clock, descriptor, timing));
}

peer_link::peer_link(event_loop& loop, const clock_interface& clock,
                     int descriptor, link_timing timing)
    : loop_(loop),
      clock_(clock),
      timing_(timing),
      stream_(bufferevent_socket_new(loop.Base(), descriptor,
                                     BEV_OPT_CLOSE_ON_FREE)),
      last_received_(clock.SteadyNow()) {
  const int enable = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
}

peer_link::~peer_link() { Close(); }

void peer_link::Start(hooks callbacks) {
  hooks_ = std::move(callbacks);
  bufferevent_setcb(stream_, &peer_link::OnRead, nullptr, &peer_link::OnEvent,
                    this);
  bufferevent_enable(stream_, EV_READ | EV_WRITE);
  ping_timer_ = loop_.Every(timing_.ping_period, [this] { CheckLiveness(); });
}

void peer_link::Send(const frame& message) {
  if (stream_ == nullptr) return;
  const std::uint32_t length =
      htonl(static_cast<std::uint32_t>(message.payload.size() + 1));
  bufferevent_write(stream_, &length, sizeof(length));
  bufferevent_write(stream_, &message.type, 1);
  bufferevent_write(stream_, message.payload.data(), message.payload.size());
}

void peer_link::Close() {
  ping_timer_.Reset();
  if (budget_) std::exchange(budget_, nullptr)->Remove(number_);
  if (stream_ == nullptr) return;
  bufferevent_free(std::exchange(stream_, nullptr));
}

void peer_link::Fail(const std::string& reason) {
  if (stream_ == nullptr) return;
  const std::shared_ptr<peer_link> self = shared_from_this();
  Close();
  if (hooks_.on_close) hooks_.on_close(reason);
}

void peer_link::OnRead(bufferevent* /*stream*/, void* argument) {
  auto* link = static_cast<peer_link*>(argument);
  const std::shared_ptr<peer_link> self = link->shared_from_this();
  link->ReadFrames();
  link->ReportInput();
}

void peer_link::OnEvent(bufferevent* /*stream*/, short events, void* argument) {
  auto* link = static_cast<peer_link*>(argument);
  if ((events & BEV_EVENT_EOF) != 0) {
    link->Fail("closed by the peer");
  } else if ((events & BEV_EVENT_ERROR) != 0) {
    link->Fail(evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
  }
}

void peer_link::ReadFrames() {
  // Keeps this link alive: a callback may make the owner release it.
  const std::shared_ptr<peer_link> self = shared_from_this();
  last_received_ = clock_.SteadyNow();
  while (stream_ != nullptr) {
    evbuffer* input = bufferevent_get_input(stream_);
    std::array<unsigned char, kHeaderBytes> header{};
    if (evbuffer_copyout(input, header.data(), kHeaderBytes) <
        static_cast<ev_ssize_t>(kHeaderBytes)) {
      return;
    }
    std::uint32_t length = 0;
    std::memcpy(&length, header.data(), kLengthBytes);
    length = ntohl(length);
    if (length == 0 || length - 1 > kMaxFramePayload) {
      Fail("frame of " + std::to_string(length) + " bytes is out of bounds");
      return;
    }
    if (evbuffer_get_length(input) < kLengthBytes + length) return;
    evbuffer_drain(input, kHeaderBytes);
    frame message;
    message.type = header[kLengthBytes];
    message.payload.resize(length - 1);
    evbuffer_remove(input, message.payload.data(), message.payload.size());
    Receive(message);
  }
}

void peer_link::ReportInput() {
  if (!budget_ || stream_ == nullptr) return;
  // Shorter input is not reported, as every link has some.
  constexpr std::size_t kMinReported = std::size_t{64} << 10U;
  std::size_t held = evbuffer_get_length(bufferevent_get_input(stream_));
  if (held < kMinReported) held = 0;
  if (held == reported_) return;
  reported_ = held;
  const std::shared_ptr<connection_budget> budget = budget_;
  budget->SetHeld(number_, held);
  if (budget->HoldsTooMuch()) budget->Enforce();
}

void peer_link::Receive(const frame& message) {
  if (budget_ && message.type < kFirstLinkFrameType) budget_->OnSent(number_);
  if (message.type == kPingFrame) {
    Send({kPongFrame, ""});
  } else if (message.type < kFirstLinkFrameType) {
    hooks_.on_frame(message);
  } else if (message.type != kPongFrame) {
    Fail("frame of unknown type " + std::to_string(message.type));
  }
}

void peer_link::CheckLiveness() {
  if (clock_.SteadyNow() - last_received_ > timing_.receive_timeout) {
    Fail("silent for more than " +
         std::to_string(timing_.receive_timeout.count()) + " ms");
    return;
  }
  if (evbuffer_get_length(bufferevent_get_output(stream_)) > kMaxUnsentBytes) {
    Fail("peer does not read");
    return;
  }
  Send({kPingFrame, ""});
}

}  // namespace almond
