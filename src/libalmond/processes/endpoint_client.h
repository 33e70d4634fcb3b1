#ifndef ALMOND_PROCESSES_ENDPOINT_CLIENT_H_
#define ALMOND_PROCESSES_ENDPOINT_CLIENT_H_

#include <functional>
#include <memory>

#include "libalmond/controllers/agent/agent_controller.h"
#include "libalmond/controllers/agent/task_control.h"
#include "libalmond/net/http_client.h"

namespace almond {

/// HTTP client of an agent for its endpoint. A start is never resent.
class endpoint_client {
 public:
  /// Added to the task's remaining time to get the timeout of the call, so that
  /// a hanging endpoint occupies the slot for a bounded time.
  static constexpr milliseconds kResponseGracePeriod{60000};
  /// Timeout of a control request, such as a pause.
  static constexpr milliseconds kControlTimeout{2000};

  struct hooks {
    std::function<void(run_id, agent_controller::start_result)> on_start_end;
    std::function<void(run_id, task_control, task_control_result)>
        on_control_end;
  };

  endpoint_client(event_loop& loop, hooks callbacks)
      : loop_(loop), hooks_(std::make_shared<hooks>(std::move(callbacks))) {}

  /// Starts a task by POST {address}/tasks/{id}.
  void Start(run_id run, const socket_address& address,
             const start_message& start);
  /// Sends POST {address}/tasks/{id}/{control}.
  void Control(run_id run, const socket_address& address, const task_name& name,
               task_control control);

 private:
  event_loop& loop_;
  /// Calls hold a weak reference: results that arrive after the client's
  /// destruction are dropped.
  std::shared_ptr<hooks> hooks_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_ENDPOINT_CLIENT_H_
