#include "libalmond/net/http_connection_pool.h"

#include <event2/http.h>

#include <algorithm>
#include <utility>

#include "libalmond/net/evhttp_messages.h"

namespace almond {
namespace {

constexpr ev_ssize_t kMaxResponseBytes = ev_ssize_t{4} << 20U;
// Time after which an idle connection is closed.
constexpr timeval kIdleTimeout = {60, 0};

}  // namespace

struct http_connection_pool::call {
  http_connection_pool* pool = nullptr;
  std::shared_ptr<evhttp_connection> connection;
  http_call_hook on_end;
  steady_time started_at;
  bool failed = false;

  static void OnError(evhttp_request_error /*error*/, void* argument) {
    static_cast<call*>(argument)->failed = true;
  }

  // http_client.cc describes how evhttp reports failures.
  static void OnDone(evhttp_request* message, void* argument) {
    auto* self = static_cast<call*>(argument);
    if (self->failed || message == nullptr) {
      self->pool->Finish(self, false, {http_call_outcome::lost, {}});
    } else if (evhttp_request_get_response_code(message) == 0) {
      self->pool->Finish(self, false, {http_call_outcome::not_sent, {}});
    } else {
      self->pool->Finish(self, true,
                         {http_call_outcome::answered, TakeResponse(message)});
    }
  }
};

http_connection_pool::http_connection_pool(event_loop& loop,
                                           const clock_interface& clock,
                                           socket_address address)
    : loop_(loop), clock_(clock), address_(std::move(address)) {}

http_connection_pool::~http_connection_pool() {
  *alive_ = false;
  for (const auto& open : calls_) {
    // Ends the call without calling its hook.
    evhttp_connection_set_closecb(open->connection.get(), nullptr, nullptr);
    open->on_end = nullptr;
    open->connection.reset();
  }
}

void http_connection_pool::Send(const http_request& request,
                                milliseconds timeout, http_call_hook on_end) {
  queue_.push_back({request, timeout, std::move(on_end)});
  SendQueued();
}

std::size_t http_connection_pool::InFlight() const {
  const steady_time now = clock_.SteadyNow();
  return static_cast<std::size_t>(
      std::count_if(calls_.begin(), calls_.end(), [now](const auto& open) {
        return now - open->started_at < kStallTimeout;
      }));
}

void http_connection_pool::SendQueued() {
  while (!queue_.empty() && InFlight() < kMaxInFlight) {
    const queued_request next = std::move(queue_.front());
    queue_.pop_front();
    Begin(next);
  }
  if (queue_.empty() || stall_timer_.Active()) return;
  stall_timer_ = loop_.After(kStallTimeout, [this] {
    stall_timer_.Reset();
    SendQueued();
  });
}

void http_connection_pool::Begin(const queued_request& next) {
  const std::shared_ptr<evhttp_connection> connection = TakeConnection();
  const timeval limit = {next.timeout.count() / 1000,
                         next.timeout.count() % 1000 * 1000};
  evhttp_connection_set_timeout_tv(connection.get(), &limit);
  calls_.push_back(std::make_unique<call>(
      call{this, connection, next.on_end, clock_.SteadyNow()}));
  call* started = calls_.back().get();
  evhttp_request* message = evhttp_request_new(&call::OnDone, started);
  evhttp_request_set_error_cb(message, &call::OnError);
  FillRequest(message, address_, next.request, "keep-alive");
  // On failure evhttp has freed the request; nothing was written.
  if (evhttp_make_request(connection.get(), message,
                          HttpCommand(next.request.method),
                          RequestTarget(next.request).c_str()) != 0) {
    Finish(started, false, {http_call_outcome::not_sent, {}});
  }
}

std::shared_ptr<evhttp_connection> http_connection_pool::TakeConnection() {
  if (!idle_.empty()) {
    std::shared_ptr<evhttp_connection> connection = std::move(idle_.back());
    idle_.pop_back();
    return connection;
  }
  std::shared_ptr<evhttp_connection> connection(
      evhttp_connection_base_new(loop_.Base(), nullptr, address_.ip.c_str(),
                                 address_.port),
      &evhttp_connection_free);
  evhttp_connection_set_max_body_size(connection.get(), kMaxResponseBytes);
  return connection;
}

void http_connection_pool::Finish(call* ended, bool reusable,
                                  http_call_result result) {
  const auto found =
      std::find_if(calls_.begin(), calls_.end(),
                   [ended](const auto& open) { return open.get() == ended; });
  if (found == calls_.end() || !ended->on_end) return;
  std::shared_ptr<evhttp_connection> connection = std::move(ended->connection);
  http_call_hook hook = std::move(ended->on_end);
  std::swap(*found, calls_.back());
  calls_.pop_back();
  // evhttp still uses the connection during its callback, so the connection is
  // reused or freed only afterwards.
  loop_.Post(milliseconds(0),
             [this, alive = alive_, connection = std::move(connection),
              reusable, hook = std::move(hook), result = std::move(result)] {
               if (!*alive) return;
               if (reusable) {
                 // Otherwise the timeout of the last request would also close
                 // the idle connection.
                 evhttp_connection_set_timeout_tv(connection.get(),
                                                  &kIdleTimeout);
                 idle_.push_back(connection);
               }
               SendQueued();
               if (*alive) hook(result);
             });
}

}  // namespace almond
