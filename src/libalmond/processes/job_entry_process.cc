#include "libalmond/processes/job_entry_process.h"

#include "libalmond/core/logging.h"
#include "libalmond/processes/daemon_log.h"
#include "libalmond/processes/evacuation_report.h"
#include "libalmond/processes/input_budget.h"

namespace almond {

job_entry_process::job_entry_process(event_loop& loop,
                                     const clock_interface& clock,
                                     job_entry_settings settings,
                                     job_interface adapter)
    : loop_(loop),
      clock_(clock),
      settings_(std::move(settings)),
      adapter_(std::move(adapter)),
      incarnation_(std::random_device{}()),
      random_(std::random_device{}()),
      log_(clock, settings_.id.Value(),
           [](const std::string& line) { ProcessLog().Write(line); }),
      routes_(clock),
      endpoints_(clock, random_, settings_.data_centre),
      links_(loop, clock, metrics_,
             {[this](link_id link, const agent_run_message& message) {
                OnMessage(link, message);
              },
              [this](link_id link) {
                log_.Write("agent_lost", {{"link", link.Value()}});
                jobs_.OnLinkClosed(link);
              }},
             run_entry_links::kAnnounceTimeout, kRunLinkTiming),
      jobs_(clock, log_, metrics_, endpoints_,
            {[this](link_id link, const entry_run_message& message) {
              links_.Send(link, message);
            }}),
      filters_({MakeRouteFilter(routes_), MakeJobDrainingFilter([this] {
                  return drain_start_ && clock_.SteadyNow() - *drain_start_ >=
                                             settings_.drain_accept_period;
                }),
                MakeJobBodyFilter([this](const job_context& context) {
                  return adapter_.decode_job(*current_request_, context);
                })}),
      budget_(MakeInputBudget(clock, metrics_, settings_.limits)),
      http_(
          loop,
          [this](const http_request& request,
                 const http_server::responder& respond) {
            OnRequest(request, respond);
          },
          budget_),
      readiness_http_(
          loop,
          [this](const http_request& request,
                 const http_server::responder& respond) {
            OnReadiness(request, respond);
          },
          budget_, listener_kind::probe),
      metrics_http_(
          loop,
          [this](const http_request& /*request*/,
                 const http_server::responder& respond) {
            respond(MetricsResponse(metrics_));
          },
          budget_, listener_kind::probe),
      control_(loop, clock, metrics_, settings_.control, ClientHooks(),
               settings_.control_timing) {}

std::optional<std::string> job_entry_process::Start() {
  http_.SetDisconnectHook(
      [this](std::uint64_t request) { OnCallerDisconnected(request); });
  links_.SetBudget(budget_);
  http_.SetOverloadHook([this](const http_request& /*request*/) {
    metrics_.Refusals(refusal_reason::overloaded).Add();
    return adapter_.encode_refusal({refusal_reason::overloaded,
                                    run_outcome::not_run,
                                    "too many requests at once"});
  });
  const auto listen = [](auto& server, const socket_address& address) {
    return server.Listen(address)
               ? std::nullopt
               : std::optional("cannot listen on " + address.ToString());
  };
  if (auto error = listen(links_, settings_.listen_peer)) return error;
  if (auto error = listen(readiness_http_, settings_.listen_ready)) {
    return error;
  }
  if (auto error = listen(metrics_http_, settings_.listen_metrics)) {
    return error;
  }
  if (auto error = listen(http_, settings_.listen_http)) return error;
  tick_timer_ =
      loop_.Every(parallel_job_controller::kTickPeriod, [this] { Tick(); });
  log_.Write("started", {{"http", settings_.listen_http.ToString()},
                         {"peer", settings_.listen_peer.ToString()},
                         {"data_centre", settings_.data_centre.Value()}});
  return std::nullopt;
}

void job_entry_process::Drain(std::function<void()> on_drained) {
  if (drain_start_) return;
  log_.Write("stopping", {{"jobs", jobs_.JobCount()}});
  drain_start_ = clock_.SteadyNow();
  on_drained_ = std::move(on_drained);
  http_.CloseConnections();
  control_.Client().SendHeartbeat();
}

void job_entry_process::SetControl(std::vector<socket_address> control) {
  control_.Client().SetAddresses(std::move(control));
}

control_client::hooks job_entry_process::ClientHooks() {
  control_client::hooks hooks;
  hooks.heartbeat = [this] { return Heartbeat(); };
  hooks.on_entries = [](const std::vector<entry_address>& /*entries*/) {};
  hooks.on_takeover = [](const ledger_record& /*record*/) {};
  hooks.on_newest = [this](config_version newest) { OnNewest(newest); };
  hooks.on_config = [this](config_version version,
                           const std::string& document) {
    OnConfig(version, document);
  };
  hooks.on_evacuations = [this](const evacuation_list& list) {
    OnEvacuations(list);
  };
  return hooks;
}

heartbeat_message job_entry_process::Heartbeat() const {
  heartbeat_message heartbeat;
  heartbeat.role = process_role::entry;
  heartbeat.id = settings_.id.Value();
  heartbeat.incarnation = incarnation_;
  heartbeat.data_centre = settings_.data_centre;
  heartbeat.peer_address = links_.Address().ToString();
  heartbeat.http_address = http_.Address().ToString();
  heartbeat.version = routes_.Version();
  heartbeat.leaving = drain_start_.has_value();
  return heartbeat;
}

void job_entry_process::OnRequest(const http_request& request,
                                  const http_server::responder& respond) {
  job_context context = adapter_.decode_request(request);
  current_request_ = &request;
  const auto refused = filters_.Run(context);
  current_request_ = nullptr;
  if (refused) {
    metrics_.Refusals(refused->reason).Add();
    log_.Write("request_refused",
               {{"path", context.path},
                {"host", context.host},
                {"reason", Name(refused->reason)},
                {"detail", refused->detail},
                {"config_version", routes_.Version().Value()},
                {"config_fresh", routes_.Fresh()}});
    respond(adapter_.encode_refusal(*refused));
    return;
  }
  if (context.verb == job_verb::submit) {
    Submit(request, context, respond);
  } else if (context.verb == job_verb::look_up && context.name.empty()) {
    // Jobs with a waiting caller are not counted, and every job of this entry
    // has one.
    respond(adapter_.encode_queue(0));
  } else {
    respond(
        adapter_.encode_refusal({refusal_reason::unknown_job,
                                 run_outcome::not_run, "no such job is kept"}));
  }
}

void job_entry_process::Submit(const http_request& request,
                               const job_context& context,
                               const http_server::responder& respond) {
  const std::uint64_t number = request.number;
  const job_id id = context.job->id;
  const auto answered = std::make_shared<bool>(false);
  const caller_id caller =
      jobs_.Submit(*context.rule, *context.job,
                   [this, number, respond, answered](const job_answer& answer) {
                     *answered = true;
                     waiting_callers_.erase(number);
                     respond(adapter_.encode_answer(answer));
                   });
  if (!*answered) waiting_callers_[number] = {id, caller, respond};
}

void job_entry_process::OnCallerDisconnected(std::uint64_t request) {
  const auto found = waiting_callers_.find(request);
  if (found == waiting_callers_.end()) return;
  const waiting_caller disconnected = found->second;
  waiting_callers_.erase(found);
  jobs_.RemoveCaller(disconnected.job, disconnected.caller);
  // The caller has disconnected, but evhttp frees the request only after a
  // response.
  disconnected.respond(
      adapter_.encode_refusal({refusal_reason::cancelled, run_outcome::unknown,
                               "the caller has left"}));
}

void job_entry_process::OnReadiness(
    const http_request& request, const http_server::responder& respond) const {
  const bool known = request.path == adapter_.readiness_path;
  const bool ready =
      known && !drain_start_ && routes_.Routes() && endpoints_.size() > 0;
  respond({ready ? 200 : 503,
           {{"Content-Type", "application/json"}},
           ready ? "{\"ready\":true}" : "{\"ready\":false}"});
}

void job_entry_process::OnMessage(link_id link,
                                  const agent_run_message& message) {
  if (const auto* state = std::get_if<endpoint_state>(&message)) {
    jobs_.OnEndpointState(link, *state);
  } else {
    jobs_.OnRunEnd(link, std::get<run_end>(message));
  }
}

void job_entry_process::OnConfig(config_version version,
                                 const std::string& document) {
  auto routes = adapter_.decode_routes(document);
  if (!routes) {
    log_.Write("config_unreadable", {{"version", version.Value()}});
    return;
  }
  routes->version = version;
  if (!routes_.ApplyIfNewer(std::move(*routes))) return;
  OnNewest(version);
  log_.Write("config_in_force", {{"version", version.Value()},
                                 {"routes", routes_.Routes()->routes.size()}});
  control_.Client().SendHeartbeat();
}

void job_entry_process::OnNewest(config_version newest) {
  routes_.OnNewestVersion(newest);
  metrics_.Gauge("almond_config_version")
      .Set(static_cast<double>(routes_.Version().Value()));
}

void job_entry_process::OnEvacuations(const evacuation_list& list) {
  if (!evacuations_.ApplyIfNewer(list)) return;
  ReportEvacuations(list, log_, metrics_);
  endpoints_.SetEvacuations(list);
  jobs_.OnEvacuations();
}

void job_entry_process::Tick() {
  jobs_.Tick();
  if (routes_.Fresh() != was_fresh_) {
    was_fresh_ = routes_.Fresh();
    log_.Write(was_fresh_ ? "control_regained" : "control_lost",
               {{"config_version", routes_.Version().Value()}});
  }
  CheckDrained();
}

void job_entry_process::CheckDrained() {
  if (!drain_start_ || !on_drained_) return;
  const duration age = clock_.SteadyNow() - *drain_start_;
  if (age < settings_.drain_accept_period) return;
  if (age < settings_.drain_timeout && http_.Pending() > 0) return;
  log_.Write("stopped", {{"jobs", jobs_.JobCount()}});
  jobs_.InterruptAll();
  // Leaves time to write the last responses before the process exits.
  constexpr milliseconds kWriteTime{100};
  loop_.Post(kWriteTime, std::exchange(on_drained_, nullptr));
}

}  // namespace almond
