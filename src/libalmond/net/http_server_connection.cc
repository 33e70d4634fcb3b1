#include "libalmond/net/http_server_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <utility>

#include "libalmond/net/socket_util.h"

namespace almond {
namespace {

constexpr std::size_t kReadAheadMargin = std::size_t{16} << 10U;
constexpr std::size_t kGrowthFactor = 4;
/// Memory that a parsed header takes in addition to its text.
constexpr std::size_t kHeaderOverhead = 128;
/// A request in progress exists as text and as parsed values.
constexpr std::size_t kRequestCopies = 2;
/// Smaller changes are not reported.
constexpr std::size_t kReportStep = 4096;

}  // namespace

http_server_connection::http_server_connection(
    bufferevent* stream, connection_budget& budget,
    connection_budget::listener_number listener, hooks callbacks)
    : stream_(stream),
      budget_(budget),
      hooks_(std::move(callbacks)),
      number_(budget.Add(listener)),
      read_ahead_(budget.Limits().max_header_bytes + kReadAheadMargin) {
  SetBound(read_ahead_);
  evbuffer_add_cb(bufferevent_get_input(stream_),
                  &http_server_connection::OnInput, this);
}

http_server_connection::~http_server_connection() {
  if (connection_ != nullptr) {
    evhttp_connection_set_closecb(connection_, nullptr, nullptr);
    evbuffer_remove_cb(bufferevent_get_input(stream_),
                       &http_server_connection::OnInput, this);
  }
  budget_.Remove(number_);
}

void http_server_connection::Attach() {
  // evhttp gives its connection to the callbacks of the stream. There is no
  // other access to it before the first request.
  void* connection = nullptr;
  bufferevent_getcb(stream_, nullptr, nullptr, nullptr, &connection);
  connection_ = static_cast<evhttp_connection*>(connection);
  evhttp_connection_set_closecb(connection_, &http_server_connection::OnClosed,
                                this);
}

void http_server_connection::Close() {
  closing_ = true;
  evhttp_connection_free(connection_);
}

void http_server_connection::OnClosed(evhttp_connection* /*connection*/,
                                      void* argument) {
  auto* self = static_cast<http_server_connection*>(argument);
  if (self->phase_ == phase::receiving && self->received_ > 0 &&
      !self->closing_) {
    self->budget_.Count(input_refusal::unfinished);
  }
  const auto on_closed = self->hooks_.on_closed;
  on_closed();
}

void http_server_connection::OnInput(evbuffer* input,
                                     const evbuffer_cb_info* change,
                                     void* argument) {
  static_cast<http_server_connection*>(argument)->CountInput(
      change->n_added, change->n_deleted, evbuffer_get_length(input));
}

void http_server_connection::CountInput(std::size_t added, std::size_t removed,
                                        std::size_t length) {
  if (phase_ == phase::receiving && removed > 0) ++pieces_;
  if (added == 0) return;
  if (phase_ == phase::receiving && received_ == 0) {
    budget_.OnReceiving(number_);
  }
  received_ += added;
  if (length >= bound_) {
    if (phase_ == phase::receiving) {
      hooks_.on_full();
    } else {
      socket_bytes_ = kSocketBufferBytes;
    }
  }
  Report();
  if (budget_.HoldsTooMuch()) hooks_.on_full();
}

void http_server_connection::Grow() {
  const std::size_t length =
      evbuffer_get_length(bufferevent_get_input(stream_));
  if (phase_ != phase::receiving || length < bound_) return;
  const input_limits& limits = budget_.Limits();
  SetBound(
      std::min(bound_ * kGrowthFactor, limits.max_body_bytes + read_ahead_));
}

void http_server_connection::SetBound(std::size_t bytes) {
  if (bytes == bound_) return;
  bound_ = bytes;
  bufferevent_setwatermark(stream_, EV_READ, 0, bound_);
}

void http_server_connection::OnRequest(std::size_t bytes) {
  phase_ = phase::in_progress;
  budget_.OnRequest(number_);
  received_ = evbuffer_get_length(bufferevent_get_input(stream_));
  request_bytes_ = kRequestCopies * bytes + kHeaderOverhead * pieces_;
  pieces_ = 0;
  SetBound(read_ahead_);
  if (received_ >= bound_) socket_bytes_ = kSocketBufferBytes;
  Report();
}

void http_server_connection::OnRequestsWaiting() {
  socket_bytes_ = kSocketBufferBytes;
  Report();
}

void http_server_connection::OnAnswer(evhttp_request* request,
                                      std::size_t bytes) {
  phase_ = phase::answering;
  budget_.OnAnswer(number_);
  request_bytes_ = 0;
  answer_bytes_ = bytes;
  evhttp_request_set_on_complete_cb(request, &http_server_connection::OnSent,
                                    this);
  Report();
}

void http_server_connection::OnSent(evhttp_request* /*request*/,
                                    void* argument) {
  auto* self = static_cast<http_server_connection*>(argument);
  self->phase_ = phase::receiving;
  self->answer_bytes_ = 0;
  self->socket_bytes_ = 0;
  self->budget_.OnSent(self->number_);
  if (self->received_ > 0) {
    self->budget_.OnReceiving(self->number_);
    // A request that was sent ahead in part may fill the input, so that no
    // further byte is read.
    if (evbuffer_get_length(bufferevent_get_input(self->stream_)) >=
        self->bound_) {
      self->hooks_.on_full();
    }
  }
  self->Report();
}

void http_server_connection::Report() {
  const std::size_t held = received_ + kHeaderOverhead * pieces_ +
                           request_bytes_ + answer_bytes_ + socket_bytes_;
  const std::size_t change =
      held > reported_ ? held - reported_ : reported_ - held;
  if (change < kReportStep) return;
  reported_ = held;
  budget_.SetHeld(number_, held);
}

}  // namespace almond
