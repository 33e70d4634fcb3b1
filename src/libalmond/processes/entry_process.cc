#include "libalmond/processes/entry_process.h"

#include <utility>

#include "libalmond/core/logging.h"
#include "libalmond/filters/entry_filters.h"
#include "libalmond/processes/entry_codec.h"
#include "libalmond/processes/input_budget.h"

namespace almond {
namespace {

incarnation_id NewIncarnation(const clock_interface& clock) {
  const auto since_epoch = std::chrono::duration_cast<milliseconds>(
      clock.WallNow().time_since_epoch());
  return incarnation_id(static_cast<std::uint64_t>(since_epoch.count()));
}

admission_hooks State(dispatch_controller& dispatch) {
  return {
      [&dispatch](const service_id& service, const team_id& team) {
        return dispatch.ServiceLoad(service, team);
      },
      [&dispatch](const service_id& service, const task_size& size) {
        return dispatch.Fits(service, size);
      },
      [&dispatch](const team_id& team) { return dispatch.TeamQueued(team); },
      [&dispatch](const service_id& service) { dispatch.OnOverload(service); }};
}

}  // namespace

entry_process::entry_process(event_loop& loop, const clock_interface& clock,
                             entry_settings settings)
    : loop_(loop),
      clock_(clock),
      settings_(std::move(settings)),
      incarnation_(NewIncarnation(clock)),
      random_(std::random_device{}()),
      task_metrics_(metrics_),
      dispatch_(clock, metrics_, DispatchHooks()),
      jobs_(dispatch_),
      requests_(clock, metrics_, jobs_,
                [this] { return uuid::MakeV7(clock_.WallNow(), random_); }),
      submissions_(clock, dispatch_, jobs_, settings_.id, incarnation_),
      filters_(
          MakeEntryFilters({clock, [this] { return listener_closed_; },
                            [this] { return config_ ? &*config_ : nullptr; },
                            State(dispatch_)})),
      admission_filters_(MakeAdmissionFilters(
          {clock, [this] { return listener_closed_; },
           [this] { return config_ ? &*config_ : nullptr; },
           State(dispatch_)})),
      budget_(MakeInputBudget(clock, metrics_, settings_.limits)),
      http_(
          loop,
          [this](const http_request& request,
                 const http_server::responder& respond) {
            OnHttp(request, respond);
          },
          budget_),
      links_(loop, clock, metrics_,
             {[this](link_id link, const agent_message& message) {
                OnAgentMessage(link, message);
              },
              [this](link_id link) { dispatch_.OnAgentClosed(link); }}) {}

dispatch_controller::hooks entry_process::DispatchHooks() {
  dispatch_controller::hooks hooks;
  hooks.send = [this](link_id link, const entry_message& message) {
    links_.Send(link, message);
  };
  hooks.on_end = [this](const task_end& end) { OnTaskEnd(end); };
  const auto team = [this](const team_id& id) {
    if (!config_) return team_config();
    const auto found = config_->teams.find(id);
    return found == config_->teams.end() ? team_config() : found->second;
  };
  hooks.team_weight = [team](const team_id& id) { return team(id).weight; };
  hooks.team_running_limit = [team](const team_id& id) {
    return team(id).max_running_tasks;
  };
  hooks.close = [this](link_id link) { links_.Close(link); };
  hooks.data_centre = settings_.data_centre;
  return hooks;
}

void entry_process::SetHooks(entry_hooks hooks) {
  hooks_ = std::move(hooks);
  submissions_.SetLedger(hooks_.ledger);
}

bool entry_process::Start() {
  links_.SetBudget(budget_);
  http_.SetOverloadHook([this](const http_request& request) {
    metrics_.Refusals(refusal_reason::overloaded).Add();
    // An earlier request with the same id may have run at any entry.
    const bool named =
        !HeaderValue(request.headers, "Almond-Submission").empty();
    return RefusalResponse({refusal_reason::overloaded,
                            named ? run_outcome::unknown : run_outcome::not_run,
                            "too many requests at once"});
  });
  if (!http_.Listen(settings_.listen_http)) return false;
  if (!links_.Listen(settings_.listen_peer)) return false;
  tick_timer_ = loop_.Every(kTickPeriod, [this] { Tick(); });
  hello_timer_ = loop_.Every(kHelloPeriod, [this] {
    links_.SendToAll(entry_hello_message{settings_.id, incarnation_, version_});
  });
  return true;
}

void entry_process::SetConfig(data_centre_config config,
                              config_version version) {
  config_ = std::move(config);
  version_ = version;
}

void entry_process::Drain(std::function<void(std::size_t)> on_drained) {
  if (draining_) return;
  LOG(INFO) << "draining with " << http_.Pending() << " requests in progress";
  draining_ = true;
  on_drained_ = std::move(on_drained);
  if (hooks_.on_draining) hooks_.on_draining();
  drain_timer_ = loop_.After(settings_.drain_delay, [this] {
    listener_closed_ = true;
    drain_end_ = clock_.SteadyNow() + settings_.drain_timeout;
    http_.StopListening();
  });
}

void entry_process::CheckDrained() {
  if (!listener_closed_ || !on_drained_) return;
  const std::size_t pending = http_.Pending();
  if (pending > 0 && clock_.SteadyNow() < drain_end_) return;
  std::exchange(on_drained_, nullptr)(pending);
}

void entry_process::Tick() {
  dispatch_.Tick();
  submissions_.Tick();
  task_metrics_.Update(dispatch_);
  metrics_.Gauge("almond_retry_budget_tokens").Set(requests_.Budget().Tokens());
  CheckDrained();
}

void entry_process::OnTaskEnd(const task_end& end) {
  task_metrics_.OnTaskEnd(end);
  jobs_.OnTaskEnd(end);
}

void entry_process::OnAgentMessage(link_id link, const agent_message& message) {
  if (std::holds_alternative<config_request_message>(message)) {
    if (hooks_.on_config_request) hooks_.on_config_request(link);
    return;
  }
  if (const auto* snapshot = std::get_if<config_snapshot_message>(&message)) {
    if (hooks_.on_config_snapshot) hooks_.on_config_snapshot(link, *snapshot);
    return;
  }
  const auto* announce = std::get_if<announce_message>(&message);
  if (announce != nullptr && hooks_.on_agent_version) {
    hooks_.on_agent_version(link, announce->version);
  }
  dispatch_.OnMessage(link, message);
}

}  // namespace almond
