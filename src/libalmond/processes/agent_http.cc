#include "libalmond/processes/agent_http.h"

#include <nlohmann/json.hpp>

#include "libalmond/core/logging.h"
#include "libalmond/processes/daemon_log.h"
#include "libalmond/processes/endpoint_codec.h"

namespace almond {
namespace {

http_response Json(int status, const nlohmann::json& body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

http_response Refusal(int status, const refusal& refused) {
  http_response response =
      Json(status, {{"reason", std::string(Name(refused.reason))},
                    {"outcome", std::string(Name(refused.outcome))},
                    {"detail", refused.detail}});
  response.headers.emplace_back("Almond-Outcome",
                                std::string(Name(refused.outcome)));
  return response;
}

http_response MethodNotAllowed(const char* allowed) {
  return Refusal(405, {refusal_reason::bad_request, run_outcome::not_run,
                       std::string("allowed methods: ") + allowed});
}

}  // namespace

http_response agent_http::Handle(const http_request& request) {
  if (request.path == "/v1/endpoint") return HandleEndpoint(request);
  const bool known = request.path == "/metrics" || request.path == "/healthz" ||
                     request.path == "/v1/config";
  if (!known) {
    return Refusal(404, {refusal_reason::unknown_path, run_outcome::not_run,
                         "paths: /v1/endpoint, /v1/config, /healthz, "
                         "/metrics"});
  }
  if (request.method != "GET") return MethodNotAllowed("GET");
  if (request.path == "/healthz") return Health();
  if (request.path == "/v1/config") return Config();
  return MetricsResponse(metrics_);
}

http_response agent_http::HandleEndpoint(const http_request& request) {
  if (request.method == "PUT") return PutEndpoint(request);
  if (request.method == "DELETE") return DeleteEndpoint();
  return MethodNotAllowed("PUT, DELETE");
}

http_response agent_http::PutEndpoint(const http_request& request) {
  const auto parsed = ParseEndpointAnnouncement(request.body);
  if (const auto* refused = std::get_if<refusal>(&parsed)) {
    return Refusal(400, *refused);
  }
  using change = endpoint_controller::change;
  const auto& announced = std::get<endpoint_announcement>(parsed);
  const change changed = controller_.OnAnnouncement(announced);
  if (changed == change::held) return Json(200, {{"state", "leaving"}});
  if (changed != change::none) {
    LOG(INFO) << "endpoint " << announced.address.ToString() << " of service "
              << announced.service << " announces " << announced.slots
              << " slots";
  }
  return Json(200, {{"state", controller_.Leaving() ? "draining" : "active"}});
}

http_response agent_http::DeleteEndpoint() {
  if (!controller_.OnEndpointLeaving()) {
    return Refusal(404, {refusal_reason::no_endpoint, run_outcome::not_run,
                         "no endpoint is announced"});
  }
  LOG(INFO) << "endpoint "
            << controller_.Endpoint().LastAnnouncement().address.ToString()
            << " is draining with " << controller_.Running()
            << " running tasks";
  return Json(200, {{"state", "leaving"}});
}

http_response agent_http::Health() const {
  const auto& endpoint = controller_.Endpoint();
  if (controller_.Leaving() || (endpoint.Present() && endpoint.Leaving())) {
    return Json(503, {{"reason", "draining"}});
  }
  if (!endpoint.Present()) return Json(503, {{"reason", "no-endpoint"}});
  nlohmann::json body = {{"state", "active"}};
  const auto config = nlohmann::json::parse(config_document_(), nullptr,
                                            /*allow_exceptions=*/false);
  if (config.is_object()) body["config"] = config;
  return Json(200, body);
}

http_response agent_http::Config() const {
  const std::string document = config_document_();
  if (document.empty()) {
    return Refusal(503, {refusal_reason::no_configuration, run_outcome::not_run,
                         "no configuration has arrived"});
  }
  return {200, {{"Content-Type", "application/json"}}, document};
}

}  // namespace almond
