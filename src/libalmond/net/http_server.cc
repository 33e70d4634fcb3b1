#include "libalmond/net/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "libalmond/net/socket_util.h"

namespace almond {
namespace {

/// Period of the search for requests that have not arrived in time.
constexpr milliseconds kSweepPeriod{5000};

const char* MethodName(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    default:
      return "";
  }
}

std::string TakeBody(evbuffer* buffer) {
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

std::string DecodedPath(const evhttp_uri* uri) {
  const char* raw = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  if (raw == nullptr) return "/";
  std::size_t length = 0;
  char* decoded = evhttp_uridecode(raw, 0, &length);
  if (decoded == nullptr) return "/";
  std::string path(decoded, length);
  free(decoded);
  return path;
}

http_request ToRequest(evhttp_request* request) {
  http_request result;
  result.method = MethodName(evhttp_request_get_command(request));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  result.path = DecodedPath(uri);
  const char* query = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
  if (query != nullptr) result.query = query;
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* field = headers->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    result.headers.emplace_back(field->key, field->value);
  }
  result.body = TakeBody(evhttp_request_get_input_buffer(request));
  return result;
}

void SendResponse(evhttp_request* request, const http_response& response,
                  bool close_after) {
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  for (const auto& [name, value] : response.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (close_after) evhttp_add_header(headers, "Connection", "close");
  evbuffer* body = evhttp_request_get_output_buffer(request);
  evbuffer_add(body, response.body.data(), response.body.size());
  evhttp_send_reply(request, response.status, nullptr, nullptr);
}

int Descriptor(evhttp_request* request) {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(
      evhttp_request_get_connection(request)));
}

/// @returns false if the peer has closed the connection
bool IsOpen(int descriptor) {
  char byte = 0;
  const ssize_t peeked = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return peeked > 0 || (peeked < 0 && errno == EAGAIN);
}

std::shared_ptr<connection_budget> DefaultBudget() {
  static const system_clock clock;
  return std::make_shared<connection_budget>(clock, input_limits(),
                                             [](input_refusal) {});
}

}  // namespace

http_server::http_server(event_loop& loop, handler handle,
                         std::shared_ptr<connection_budget> budget,
                         listener_kind kind, std::chrono::seconds idle_timeout)
    : loop_(loop),
      handle_(std::move(handle)),
      budget_(std::move(budget)),
      listener_(budget_->AddListener(
          kind, [this](connection_number number) { Close(number); })),
      on_overload_([](const http_request& /*request*/) {
        return http_response{503, {{"Retry-After", "1"}}, ""};
      }),
      server_(evhttp_new(loop.Base())) {
  const input_limits& limits = budget_->Limits();
  evhttp_set_max_body_size(server_,
                           static_cast<ev_ssize_t>(limits.max_body_bytes));
  evhttp_set_max_headers_size(server_,
                              static_cast<ev_ssize_t>(limits.max_header_bytes));
  evhttp_set_timeout(server_, static_cast<int>(idle_timeout.count()));
  // Allows all methods, so that handlers refuse unsupported ones with a JSON
  // reason instead of the error page of evhttp.
  evhttp_set_allowed_methods(server_, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                          EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                          EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH |
                                          EVHTTP_REQ_OPTIONS);
  evhttp_set_bevcb(server_, &http_server::OnAccept, this);
  evhttp_set_gencb(server_, &http_server::OnRequest, this);
}

http_server::http_server(event_loop& loop, handler handle,
                         std::chrono::seconds idle_timeout)
    : http_server(loop, std::move(handle), DefaultBudget(), listener_kind::main,
                  idle_timeout) {}

http_server::~http_server() {
  *alive_ = false;
  // Closes the connections, which remove themselves.
  evhttp_free(server_);
  budget_->RemoveListener(listener_);
}

bool http_server::Listen(const socket_address& address) {
  socket_ =
      evhttp_bind_socket_with_handle(server_, address.ip.c_str(), address.port);
  if (socket_ == nullptr) return false;
  LimitSocketBuffers(evhttp_bound_socket_get_fd(socket_));
  address_ = {address.ip, BoundPort(evhttp_bound_socket_get_fd(socket_))};
  return true;
}

void http_server::StopListening() {
  *closing_ = true;
  if (socket_ == nullptr) return;
  evhttp_del_accept_socket(server_, std::exchange(socket_, nullptr));
}

bufferevent* http_server::OnAccept(event_base* base, void* argument) {
  // evhttp owns the stream and closes its socket.
  bufferevent* stream = bufferevent_socket_new(base, -1, 0);
  static_cast<http_server*>(argument)->Accept(stream);
  return stream;
}

void http_server::Accept(bufferevent* stream) {
  const auto number = std::make_shared<connection_number>(0);
  auto added = std::make_unique<http_server_connection>(
      stream, *budget_, listener_,
      http_server_connection::hooks{
          [this, number] { ScheduleCheck(*number); },
          [this, number] {
            const auto found = connections_.find(*number);
            by_handle_.erase(found->second->Connection());
            connections_.erase(found);
          }});
  *number = added->Number();
  if (accepted_.empty()) {
    // Runs after the accept and before any event of the connection.
    event_base_once(loop_.Base(), -1, EV_TIMEOUT, &http_server::OnAccepted,
                    this, nullptr);
  }
  accepted_.push_back(added->Number());
  connections_[added->Number()] = std::move(added);
  // Leaves further clients in the queue until a connection was closed.
  if (budget_->Full(listener_) && socket_ != nullptr) {
    evconnlistener_disable(evhttp_bound_socket_get_listener(socket_));
  }
}

void http_server::OnAccepted(int /*descriptor*/, short /*events*/,
                             void* argument) {
  static_cast<http_server*>(argument)->AttachAccepted();
}

void http_server::AttachAccepted() {
  for (const connection_number number : std::exchange(accepted_, {})) {
    http_server_connection& added = *connections_.at(number);
    added.Attach();
    by_handle_[added.Connection()] = &added;
  }
  budget_->Enforce();
  if (socket_ != nullptr) {
    evconnlistener_enable(evhttp_bound_socket_get_listener(socket_));
  }
  if (!sweep_timer_.Active()) {
    sweep_timer_ = loop_.After(kSweepPeriod, [this] { Sweep(); });
  }
}

void http_server::Sweep() {
  sweep_timer_.Reset();
  budget_->CloseOverdue();
  if (connections_.empty()) return;
  sweep_timer_ = loop_.After(kSweepPeriod, [this] { Sweep(); });
}

void http_server::ScheduleCheck(connection_number number) {
  full_.push_back(number);
  if (check_timer_.Active()) return;
  check_timer_ = loop_.After(milliseconds(0), [this] { Check(); });
}

void http_server::Check() {
  check_timer_.Reset();
  budget_->Enforce();
  for (const connection_number number : std::exchange(full_, {})) {
    const auto found = connections_.find(number);
    if (found != connections_.end()) found->second->Grow();
  }
}

void http_server::Close(connection_number number) {
  const auto found = connections_.find(number);
  if (found != connections_.end()) found->second->Close();
}

http_server_connection* http_server::Find(evhttp_request* request) const {
  const auto found = by_handle_.find(evhttp_request_get_connection(request));
  return found == by_handle_.end() ? nullptr : found->second;
}

void http_server::OnRequest(evhttp_request* request, void* argument) {
  static_cast<http_server*>(argument)->Handle(request);
}

void http_server::Respond(evhttp_request* request,
                          const http_response& response, bool close_after) {
  if (http_server_connection* connection = Find(request)) {
    connection->OnAnswer(request, response.body.size());
  }
  SendResponse(request, response, close_after);
}

void http_server::Handle(evhttp_request* request) {
  if (on_disconnect_ && !IsOpen(Descriptor(request))) {
    SendResponse(request, {503, {}, ""}, true);
    return;
  }
  http_request received = ToRequest(request);
  if (http_server_connection* connection = Find(request)) {
    connection->OnRequest(received.body.size());
  }
  if (budget_->HoldsTooMuch()) budget_->Enforce();
  if (budget_->HoldsTooMuch()) {
    budget_->Count(input_refusal::overloaded);
    Respond(request, on_overload_(received), true);
    return;
  }
  ++*pending_;
  received.number = ++last_number_;
  if (on_disconnect_) Watch(request, received.number);
  handle_(received,
          [this, request, number = received.number, pending = pending_,
           closing = closing_, alive = alive_](const http_response& response) {
            --*pending;
            if (!*alive) return;
            watches_.erase(number);
            Respond(request, response, *closing);
          });
}

void http_server::Watch(evhttp_request* request, std::uint64_t number) {
  const int descriptor = Descriptor(request);
  watches_[number] =
      loop_.OnReadable(descriptor, [this, request, descriptor, number] {
        const bool open = IsOpen(descriptor);
        // Bytes of a pipelined request are left to evhttp and end the
        // monitoring.
        watches_.erase(number);
        if (!open) {
          on_disconnect_(number);
        } else if (http_server_connection* connection = Find(request)) {
          connection->OnRequestsWaiting();
        }
      });
}

}  // namespace almond
