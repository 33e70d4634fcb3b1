#ifndef ALMOND_PROCESSES_ENDPOINT_LINK_H_
#define ALMOND_PROCESSES_ENDPOINT_LINK_H_

#include <functional>
#include <memory>

#include "libalmond/controllers/agent/agent_controller.h"
#include "libalmond/controllers/agent/task_control.h"
#include "libalmond/net/http_client.h"

namespace almond {

/// An agent's HTTP calls to its endpoint. Each start is sent once and never
/// resent.
class endpoint_link {
 public:
  /// Added to the caller's time left as limit for the endpoint's answer, so
  /// that a call to an endpoint that hangs holds its slot for a bounded time.
  static constexpr milliseconds kAnswerGrace{60000};
  /// Limit for a control request.
  static constexpr milliseconds kControlTimeout{2000};

  struct hooks {
    std::function<void(run_id, agent_controller::start_result)> on_start_end;
    std::function<void(run_id, task_control, task_control_result)>
        on_control_end;
  };

  endpoint_link(event_loop& loop, hooks callbacks)
      : loop_(loop), hooks_(std::make_shared<hooks>(std::move(callbacks))) {}

  /// Starts a task by POST {address}/tasks/{id}.
  void Start(run_id run, const socket_address& address,
             const start_message& start);
  /// Sends POST {address}/tasks/{id}/{control}.
  void Control(run_id run, const socket_address& address, const task_name& name,
               task_control control);

 private:
  event_loop& loop_;
  /// Calls hold it weakly: their ends are dropped after the link's end.
  std::shared_ptr<hooks> hooks_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_ENDPOINT_LINK_H_
