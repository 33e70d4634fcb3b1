#include "libalmond/net/http_client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <memory>
#include <utility>

namespace almond {
namespace {

constexpr ev_ssize_t kMaxResponseBytes = ev_ssize_t{17} << 20U;

/// One request in progress; deletes itself at its end.
class http_call {
 public:
  http_call(event_loop& loop, http_call_hook on_end)
      : loop_(loop), on_end_(std::move(on_end)) {}

  void Begin(const socket_address& address, const http_request& request,
             milliseconds timeout) {
    connection_ = evhttp_connection_base_new(loop_.Base(), nullptr,
                                             address.ip.c_str(), address.port);
    evhttp_connection* connection = connection_;
    const timeval limit = {timeout.count() / 1000,
                           timeout.count() % 1000 * 1000};
    evhttp_connection_set_timeout_tv(connection, &limit);
    evhttp_connection_set_max_body_size(connection, kMaxResponseBytes);
    evhttp_connection_free_on_completion(connection);
    evhttp_request* message = evhttp_request_new(&http_call::OnDone, this);
    evhttp_request_set_error_cb(message, &http_call::OnError);
    AddHeaders(message, address, request);
    evbuffer_add(evhttp_request_get_output_buffer(message), request.body.data(),
                 request.body.size());
    std::string target = request.path;
    if (!request.query.empty()) target += "?" + request.query;
    // On failure evhttp has freed the request; nothing was written.
    if (evhttp_make_request(connection, message, Command(request.method),
                            target.c_str()) != 0) {
      FreeConnection();
      Finish({http_call_outcome::not_sent, {}});
    }
  }

 private:
  static evhttp_cmd_type Command(const std::string& method) {
    if (method == "POST") return EVHTTP_REQ_POST;
    if (method == "PUT") return EVHTTP_REQ_PUT;
    if (method == "DELETE") return EVHTTP_REQ_DELETE;
    return EVHTTP_REQ_GET;
  }

  static void AddHeaders(evhttp_request* message, const socket_address& address,
                         const http_request& request) {
    evkeyvalq* headers = evhttp_request_get_output_headers(message);
    evhttp_add_header(headers, "Host", address.ToString().c_str());
    evhttp_add_header(headers, "Connection", "close");
    for (const auto& [name, value] : request.headers) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
  }

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
      self->FreeConnection();
      self->Finish({http_call_outcome::not_sent, {}});
    } else {
      self->Finish({http_call_outcome::answered, Response(message)});
    }
  }

  static http_response Response(evhttp_request* message) {
    http_response response;
    response.status = evhttp_request_get_response_code(message);
    const evkeyvalq* headers = evhttp_request_get_input_headers(message);
    for (const evkeyval* field = headers->tqh_first; field != nullptr;
         field = field->next.tqe_next) {
      response.headers.emplace_back(field->key, field->value);
    }
    evbuffer* body = evhttp_request_get_input_buffer(message);
    response.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, response.body.data(), response.body.size());
    return response;
  }

  // evhttp frees a connection on completion only if it was established; it may
  // still be in use by the caller of this callback.
  void FreeConnection() {
    loop_.Post(milliseconds(0), [connection = connection_] {
      evhttp_connection_free(connection);
    });
  }

  void Finish(http_call_result result) {
    loop_.Post(milliseconds(0), [hook = std::move(on_end_),
                                 result = std::move(result)] { hook(result); });
    delete this;
  }

  event_loop& loop_;
  http_call_hook on_end_;
  evhttp_connection* connection_ = nullptr;
  bool failed_ = false;
};

}  // namespace

void SendHttpRequest(event_loop& loop, const socket_address& address,
                     const http_request& request, milliseconds timeout,
                     http_call_hook on_end) {
  auto* call = new http_call(loop, std::move(on_end));
  call->Begin(address, request, timeout);
}

}  // namespace almond
