#include "libalmond/processes/evacuation_api.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "libalmond/processes/control_process_codec.h"

namespace almond {
namespace {

using nlohmann::json;

constexpr std::string_view kListPath = "/v1/evacuations";
constexpr std::string_view kItemPath = "/v1/evacuations/";

http_response JsonResponse(const json& body) {
  return {200,
          {{"Content-Type", "application/json"}},
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

}  // namespace

evacuation_api::evacuation_api(control_service& service,
                               const evacuation_store& store,
                               std::function<std::string()> leader_http)
    : service_(service), store_(store), leader_http_(std::move(leader_http)) {}

bool evacuation_api::Handle(const http_request& request,
                            const http_server::responder& respond) {
  const bool item = request.path.starts_with(kItemPath) &&
                    request.path.size() > kItemPath.size();
  if (!item && request.path != kListPath) return false;
  if (item && (request.method == "PUT" || request.method == "DELETE")) {
    Change({data_centre_id(request.path.substr(kItemPath.size())),
            request.method == "PUT"},
           respond);
  } else if (!item && request.method == "GET") {
    Get(respond);
  } else {
    respond(ReasonResponse(405, "unknown-method"));
  }
  return true;
}

void evacuation_api::Get(const http_server::responder& respond) {
  service_.Read([this, respond](bool confirmed) {
    respond(confirmed ? JsonResponse(EvacuationsJson(store_.Evacuations()))
                      : NotLeaderResponse(leader_http_()));
  });
}

void evacuation_api::Change(const evacuation_change& change,
                            const http_server::responder& respond) {
  service_.ChangeEvacuation(
      change, [this, respond](const evacuation_answer& answer) {
        if (const auto* result = std::get_if<evacuation_result>(&answer)) {
          respond(JsonResponse({{"revision", result->revision.Value()}}));
        } else if (std::holds_alternative<change_unknown_data_centre>(answer)) {
          respond(ReasonResponse(404, "unknown-data-centre"));
        } else if (std::holds_alternative<change_not_leader>(answer)) {
          respond(NotLeaderResponse(leader_http_()));
        } else {
          respond(ReasonResponse(504, "outcome-unknown"));
        }
      });
}

}  // namespace almond
