#include "libalmond/processes/agent_process.h"

#include <utility>

#include "libalmond/core/logging.h"
#include "libalmond/processes/input_budget.h"

namespace almond {
namespace {

// Returns the milliseconds since the epoch, so that a later incarnation has a
// larger number and the number shows when the process started.
incarnation_id NewIncarnation(const clock_interface& clock) {
  const auto since_epoch = std::chrono::duration_cast<milliseconds>(
      clock.WallNow().time_since_epoch());
  return incarnation_id(static_cast<std::uint64_t>(since_epoch.count()));
}

}  // namespace

agent_process::agent_process(event_loop& loop, const clock_interface& clock,
                             agent_settings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      incarnation_(NewIncarnation(clock)),
      links_(loop, clock, metrics_,
             {[this](link_id link) { controller_.OnEntryConnected(link); },
              [this](link_id link) { controller_.OnEntryClosed(link); },
              [this](link_id link, const entry_message& message) {
                OnMessage(link, message);
              }}),
      endpoint_(loop, {[this](run_id run, agent_controller::start_result end) {
                         controller_.OnStartResult(run, std::move(end));
                       },
                       [this](run_id run, task_control control,
                              task_control_result result) {
                         controller_.OnControlResult(run, control, result);
                       }}),
      controller_(clock, metrics_,
                  {settings_.id, incarnation_, settings_.data_centre},
                  ControllerHooks()),
      http_api_(controller_, metrics_, [this] { return config_.document(); }),
      budget_(MakeInputBudget(clock, metrics_, settings_.limits)),
      http_(
          loop,
          [this](const http_request& request,
                 const http_server::responder& respond) {
            respond(http_api_.Handle(request));
          },
          budget_) {}

agent_controller::hooks agent_process::ControllerHooks() {
  agent_controller::hooks callbacks;
  callbacks.send = [this](link_id link, const agent_message& message) {
    links_.Send(link, message);
  };
  callbacks.start = [this](run_id run, const socket_address& address,
                           const start_message& start) {
    endpoint_.Start(run, address, start);
  };
  callbacks.control = [this](run_id run, const socket_address& address,
                             const task_name& name, task_control control) {
    endpoint_.Control(run, address, name, control);
  };
  callbacks.wake = [this] {
    flush_timer_ =
        loop_.After(milliseconds(0), [this] { controller_.Flush(); });
  };
  callbacks.version = [this] { return config_.version(); };
  callbacks.suspend_after = [this](const service_id& service) {
    return config_.suspend_after(service);
  };
  return callbacks;
}

bool agent_process::Start() {
  if (!http_.Listen(settings_.listen_http)) return false;
  SetEntries({});
  tick_timer_ = loop_.Every(kTickPeriod, [this] { Tick(); });
  announce_timer_ =
      loop_.Every(kAnnouncePeriod, [this] { controller_.Announce(); });
  return true;
}

void agent_process::Drain(std::function<void()> on_drained) {
  if (!controller_.Leaving()) {
    LOG(INFO) << "draining with " << controller_.Running() << " running tasks";
  }
  on_drained_ = std::move(on_drained);
  controller_.Leave();
}

void agent_process::Tick() {
  const bool present = controller_.Endpoint().Present();
  controller_.Tick();
  if (present && !controller_.Endpoint().Present()) {
    const endpoint_controller& endpoint = controller_.Endpoint();
    LOG(INFO) << "endpoint " << endpoint.LastAnnouncement().address.ToString()
              << (endpoint.Leaving() ? " has left"
                                     : " has stopped sending announcements")
              << "; " << controller_.Running() << " tasks are still running";
  }
  if (on_drained_ && controller_.Drained()) {
    std::exchange(on_drained_, nullptr)();
  }
}

void agent_process::SetEntries(const std::vector<socket_address>& entries) {
  std::vector<socket_address> all = settings_.entries;
  all.insert(all.end(), entries.begin(), entries.end());
  links_.SetEntries(all);
}

void agent_process::OnMessage(link_id link, const entry_message& message) {
  if (const auto* hello = std::get_if<entry_hello_message>(&message)) {
    config_.on_hello(link, *hello);
  } else if (std::holds_alternative<config_request_message>(message)) {
    config_.on_config_request(link);
  } else if (const auto* snapshot =
                 std::get_if<config_snapshot_message>(&message)) {
    config_.on_config_snapshot(link, *snapshot);
  } else {
    controller_.OnMessage(link, message);
  }
}

}  // namespace almond
