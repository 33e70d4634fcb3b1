#include "libalmond/net/evhttp_messages.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

namespace almond {

evhttp_cmd_type HttpCommand(const std::string& method) {
  if (method == "POST") return EVHTTP_REQ_POST;
  if (method == "PUT") return EVHTTP_REQ_PUT;
  if (method == "DELETE") return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_GET;
}

void FillRequest(evhttp_request* message, const socket_address& address,
                 const http_request& request, const char* connection) {
  evkeyvalq* headers = evhttp_request_get_output_headers(message);
  if (HeaderValue(request.headers, "Host").empty()) {
    evhttp_add_header(headers, "Host", address.ToString().c_str());
  }
  evhttp_add_header(headers, "Connection", connection);
  for (const auto& [name, value] : request.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(message), request.body.data(),
               request.body.size());
}

std::string RequestTarget(const http_request& request) {
  return request.query.empty() ? request.path
                               : request.path + "?" + request.query;
}

http_response TakeResponse(evhttp_request* message) {
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

}  // namespace almond
