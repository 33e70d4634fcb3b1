#include "libalmond/processes/control_process_api.h"

#include <utility>

#include "libalmond/processes/daemon_log.h"

namespace almond {
namespace {

bool IsKnownPath(const std::string& path) {
  return path == "/v1/config" || path == "/v1/config/history" ||
         path == "/v1/status" || path == "/v1/replicas" ||
         path == "/v1/replicas/claim" || path == "/healthz" ||
         path == "/metrics";
}

}  // namespace

control_process_api::control_process_api(control_service& service,
                                         const control_state_machine& machine,
                                         const metrics_registry& metrics,
                                         hooks callbacks)
    : service_(service),
      machine_(machine),
      metrics_(metrics),
      hooks_(std::move(callbacks)),
      evacuations_(service, machine.Evacuations(), hooks_.leader_http) {}

void control_process_api::Handle(const http_request& request,
                                 const http_server::responder& respond) {
  if (evacuations_.Handle(request, respond)) return;
  if (!IsKnownPath(request.path)) {
    respond(ReasonResponse(404, "unknown-path"));
  } else if (request.method == "GET") {
    HandleGet(request, respond);
  } else if (request.method == "POST" && request.path == "/v1/config") {
    PostConfig(request, respond);
  } else if (request.method == "POST" && request.path == "/v1/replicas") {
    PostReplicaAddress(request, respond);
  } else if (request.method == "POST" && request.path == "/v1/replicas/claim") {
    PostReplicaClaim(request, respond);
  } else {
    respond(ReasonResponse(405, "unknown-method"));
  }
}

void control_process_api::HandleGet(const http_request& request,
                                    const http_server::responder& respond) {
  if (request.path == "/v1/config") {
    GetConfig(request, respond);
  } else if (request.path == "/v1/config/history") {
    GetHistory(respond);
  } else if (request.path == "/v1/status") {
    respond(Status());
  } else if (request.path == "/v1/replicas") {
    GetReplicas(request, respond);
  } else if (request.path == "/v1/replicas/claim") {
    respond(ReasonResponse(405, "unknown-method"));
  } else if (request.path == "/healthz") {
    respond(Health());
  } else {
    respond(MetricsResponse(metrics_));
  }
}

void control_process_api::PostConfig(const http_request& request,
                                     const http_server::responder& respond) {
  auto parsed = ParseChange(request.body);
  if (const auto* refused = std::get_if<http_response>(&parsed)) {
    respond(*refused);
    return;
  }
  const auto& change = std::get<change_request>(parsed);
  service_.ChangeConfig(change.change_id, change.expected, change.document,
                        [this, respond](const change_answer& answer) {
                          respond(ChangeResponse(answer, hooks_.leader_http()));
                        });
}

void control_process_api::PostReplicaAddress(
    const http_request& request, const http_server::responder& respond) {
  const auto move = DecodeReplicaAddressChange(request.body);
  if (!move) {
    respond(ReasonResponse(400, "bad-request"));
    return;
  }
  if (!hooks_.is_leader()) {
    respond(NotLeaderResponse(hooks_.leader_http()));
    return;
  }
  service_.ChangeReplicaAddress(*move, [this, respond](bool committed) {
    respond(
        committed
            ? http_response{200, {{"Content-Type", "application/json"}}, "{}"}
            : NotLeaderResponse(hooks_.leader_http()));
  });
}

void control_process_api::PostReplicaClaim(
    const http_request& request, const http_server::responder& respond) {
  const auto claim = DecodeReplicaClaim(request.body);
  if (!claim) {
    respond(ReasonResponse(400, "bad-request"));
    return;
  }
  if (!hooks_.is_leader()) {
    respond(NotLeaderResponse(hooks_.leader_http()));
    return;
  }
  service_.ClaimReplica(*claim, [this, respond](std::optional<bool> accepted) {
    if (!accepted) {
      respond(NotLeaderResponse(hooks_.leader_http()));
    } else if (*accepted) {
      respond({200, {{"Content-Type", "application/json"}}, "{}"});
    } else {
      respond(ReasonResponse(409, "claimed-by-another"));
    }
  });
}

void control_process_api::GetConfig(const http_request& request,
                                    const http_server::responder& respond) {
  const auto parsed = ParseVersionQuery(request.query);
  if (const auto* refused = std::get_if<http_response>(&parsed)) {
    respond(*refused);
    return;
  }
  service_.Read([this, respond,
                 version = std::get<config_version>(parsed)](bool confirmed) {
    respond(confirmed ? ConfigResponse(machine_.Config(), version)
                      : NotLeaderResponse(hooks_.leader_http()));
  });
}

void control_process_api::GetHistory(const http_server::responder& respond) {
  service_.Read([this, respond](bool confirmed) {
    respond(confirmed ? HistoryResponse(machine_.Config())
                      : NotLeaderResponse(hooks_.leader_http()));
  });
}

http_response control_process_api::Status() const {
  if (!hooks_.is_leader()) return NotLeaderResponse(hooks_.leader_http());
  return StatusResponse(machine_.Config().Newest(), hooks_.leader_id(),
                        service_.Directory().Processes(), hooks_.replicas(),
                        machine_.Evacuations().Evacuations());
}

void control_process_api::GetReplicas(const http_request& request,
                                      const http_server::responder& respond) {
  if (!hooks_.is_leader()) {
    respond(NotLeaderResponse(hooks_.leader_http()));
    return;
  }
  if (const auto peer = ParseWaitingQuery(request.query)) {
    hooks_.on_waiting(*peer);
  }
  // A leader that has not applied the log yet may name a process that has been
  // replaced, and its successor would give up its place and its data.
  service_.Read([this, respond](bool confirmed) {
    respond(confirmed ? ReplicasResponse(machine_.Config().Newest(),
                                         hooks_.leader_id(), hooks_.replicas(),
                                         hooks_.waiting())
                      : NotLeaderResponse(hooks_.leader_http()));
  });
}

http_response control_process_api::Health() const {
  if (hooks_.leader_id().empty()) return ReasonResponse(503, "no-leader");
  return {200, {{"Content-Type", "application/json"}}, "{}"};
}

}  // namespace almond
