#include "libalmond/net/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "libalmond/net/socket_util.h"

namespace almond {
namespace {

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

}  // namespace

http_server::http_server(event_loop& loop, handler handle,
                         std::chrono::seconds idle_timeout)
    : loop_(loop),
      handle_(std::move(handle)),
      server_(evhttp_new(loop.Base())) {
  evhttp_set_max_body_size(server_, kMaxBodyBytes);
  evhttp_set_max_headers_size(server_, kMaxHeaderBytes);
  evhttp_set_timeout(server_, static_cast<int>(idle_timeout.count()));
  // Allows all methods, so that handlers refuse unsupported ones with a JSON
  // reason instead of the error page of evhttp.
  evhttp_set_allowed_methods(server_, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                          EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                          EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH |
                                          EVHTTP_REQ_OPTIONS);
  evhttp_set_gencb(server_, &http_server::OnRequest, this);
}

http_server::~http_server() {
  *alive_ = false;
  evhttp_free(server_);
}

bool http_server::Listen(const socket_address& address) {
  socket_ =
      evhttp_bind_socket_with_handle(server_, address.ip.c_str(), address.port);
  if (socket_ == nullptr) return false;
  address_ = {address.ip, BoundPort(evhttp_bound_socket_get_fd(socket_))};
  return true;
}

void http_server::StopListening() {
  *closing_ = true;
  if (socket_ == nullptr) return;
  evhttp_del_accept_socket(server_, std::exchange(socket_, nullptr));
}

void http_server::OnRequest(evhttp_request* request, void* argument) {
  static_cast<http_server*>(argument)->Handle(request);
}

void http_server::Handle(evhttp_request* request) {
  if (on_disconnect_ && !IsOpen(Descriptor(request))) {
    SendResponse(request, {503, {}, ""}, true);
    return;
  }
  ++*pending_;
  http_request received = ToRequest(request);
  received.number = ++last_number_;
  if (on_disconnect_) Watch(request, received.number);
  handle_(received,
          [this, request, number = received.number, pending = pending_,
           closing = closing_, alive = alive_](const http_response& response) {
            --*pending;
            if (!*alive) return;
            watches_.erase(number);
            SendResponse(request, response, *closing);
          });
}

void http_server::Watch(evhttp_request* request, std::uint64_t number) {
  const int descriptor = Descriptor(request);
  watches_[number] = loop_.OnReadable(descriptor, [this, descriptor, number] {
    const bool open = IsOpen(descriptor);
    // Bytes of a pipelined request are left to evhttp and end the monitoring.
    watches_.erase(number);
    if (!open) on_disconnect_(number);
  });
}

}  // namespace almond
