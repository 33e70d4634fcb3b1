#include "libalmond/net/http_client.h"

#include <event2/http.h>

#include <memory>
#include <utility>

#include "libalmond/net/evhttp_messages.h"

namespace almond {
namespace {

constexpr ev_ssize_t kMaxResponseBytes = ev_ssize_t{17} << 20U;

/// A request in flight; owned by the loop until it ends.
class http_call {
 public:
  http_call(event_loop& loop, http_call_hook on_end)
      : loop_(loop), on_end_(std::move(on_end)) {}
  // evhttp reports the end of a request whose connection is freed.
  ~http_call() {
    ended_ = true;
    if (connection_ != nullptr) evhttp_connection_free(connection_);
  }
  http_call(const http_call&) = delete;
  http_call& operator=(const http_call&) = delete;

  void Begin(const socket_address& address, const http_request& request,
             milliseconds timeout) {
    connection_ = evhttp_connection_base_new(loop_.Base(), nullptr,
                                             address.ip.c_str(), address.port);
    const timeval limit = {timeout.count() / 1000,
                           timeout.count() % 1000 * 1000};
    evhttp_connection_set_timeout_tv(connection_, &limit);
    evhttp_connection_set_max_body_size(connection_, kMaxResponseBytes);
    evhttp_request* message = evhttp_request_new(&http_call::OnDone, this);
    evhttp_request_set_error_cb(message, &http_call::OnError);
    FillRequest(message, address, request, "close");
    // On failure evhttp has freed the request; nothing was written.
    if (evhttp_make_request(connection_, message, HttpCommand(request.method),
                            RequestTarget(request).c_str()) != 0) {
      Finish({http_call_outcome::not_sent, {}});
    }
  }

 private:
  static void OnError(evhttp_request_error /*error*/, void* argument) {
    static_cast<http_call*>(argument)->failed_ = true;
  }

  // evhttp calls this with a null request after an error on an established
  // connection, and with response code 0 when it could not connect.
  static void OnDone(evhttp_request* message, void* argument) {
    auto* self = static_cast<http_call*>(argument);
    if (self->failed_ || message == nullptr) {
      self->Finish({http_call_outcome::lost, {}});
    } else if (evhttp_request_get_response_code(message) == 0) {
      self->Finish({http_call_outcome::not_sent, {}});
    } else {
      self->Finish({http_call_outcome::answered, TakeResponse(message)});
    }
  }

  // evhttp still uses the connection during its callback, so the call and its
  // connection are destroyed only afterwards.
  void Finish(http_call_result result) {
    if (std::exchange(ended_, true)) return;
    loop_.Post(milliseconds(0),
               [self = loop_.Release(this), hook = std::move(on_end_),
                result = std::move(result)] { hook(result); });
  }

  event_loop& loop_;
  http_call_hook on_end_;
  evhttp_connection* connection_ = nullptr;
  bool failed_ = false;
  bool ended_ = false;
};

}  // namespace

void SendHttpRequest(event_loop& loop, const socket_address& address,
                     const http_request& request, milliseconds timeout,
                     http_call_hook on_end) {
  const auto call = std::make_shared<http_call>(loop, std::move(on_end));
  loop.Own(call);
  call->Begin(address, request, timeout);
}

}  // namespace almond
