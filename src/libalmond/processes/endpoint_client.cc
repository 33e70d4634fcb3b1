#include "libalmond/processes/endpoint_client.h"

#include <algorithm>
#include <string>
#include <utility>

#include "libalmond/processes/endpoint_codec.h"

namespace almond {

void endpoint_client::Start(run_id run, const socket_address& address,
                            const start_message& start) {
  http_request request;
  request.method = "POST";
  request.path = "/tasks/" + ToString(start.name);
  request.headers = {{"Almond-Submission", start.name.submission.ToString()},
                     {"Almond-Task", std::to_string(start.name.index)},
                     {"Content-Type", "application/octet-stream"}};
  if (!start.kind.Empty()) {
    request.headers.emplace_back("Almond-Kind", start.kind.Value());
  }
  request.body = start.body;
  SendHttpRequest(
      loop_, address, request,
      std::min(start.time_left, agent_controller::kMaxTimeLeft) +
          kResponseGracePeriod,
      [run, weak = std::weak_ptr<hooks>(hooks_)](const http_call_result& end) {
        const auto callbacks = weak.lock();
        if (!callbacks) return;
        agent_controller::start_result result;
        result.outcome = StartOutcome(end);
        if (end.outcome == http_call_outcome::answered) {
          result.status = static_cast<std::uint16_t>(end.response.status);
          result.body = end.response.body;
        }
        callbacks->on_start_end(run, std::move(result));
      });
}

void endpoint_client::Control(run_id run, const socket_address& address,
                              const task_name& name, task_control control) {
  http_request request;
  request.method = "POST";
  request.path = "/tasks/" + ToString(name) + "/" + std::string(Name(control));
  SendHttpRequest(
      loop_, address, request, kControlTimeout,
      [run, control,
       weak = std::weak_ptr<hooks>(hooks_)](const http_call_result& end) {
        const auto callbacks = weak.lock();
        if (!callbacks) return;
        callbacks->on_control_end(run, control, ControlResult(control, end));
      });
}

}  // namespace almond
