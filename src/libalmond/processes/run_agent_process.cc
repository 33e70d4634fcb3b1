#include "libalmond/processes/run_agent_process.h"

#include <algorithm>
#include <random>
#include <utility>

#include "libalmond/core/logging.h"
#include "libalmond/processes/daemon_log.h"
#include "libalmond/processes/evacuation_report.h"
#include "libalmond/processes/input_budget.h"

namespace almond {

run_agent_process::run_agent_process(event_loop& loop,
                                     const clock_interface& clock,
                                     run_agent_settings settings,
                                     endpoint_interface adapter)
    : loop_(loop),
      clock_(clock),
      settings_(std::move(settings)),
      adapter_(std::move(adapter)),
      incarnation_(std::random_device{}()),
      log_(clock, settings_.id.Value(),
           [](const std::string& line) { ProcessLog().Write(line); }),
      links_(loop, clock, metrics_,
             {[this](link_id link) {
                log_.Write("entry_connected", {{"link", link.Value()}});
                SendStatesTo(link);
              },
              [this](link_id link) { OnClosed(link); },
              [this](link_id link, const entry_run_message& message) {
                OnMessage(link, message);
              }},
             kRunLinkTiming),
      subset_(clock, settings_.id, settings_.data_centre,
              {[this](const entry_address& entry) {
                const auto address = socket_address::Parse(entry.peer_address);
                return address && links_.LinkTo(*address) != link_id();
              }}),
      budget_(MakeInputBudget(clock, metrics_, settings_.limits)),
      http_(
          loop,
          [this](const http_request& request,
                 const http_server::responder& respond) {
            OnRequest(request, respond);
          },
          budget_),
      metrics_http_(
          loop,
          [this](const http_request& /*request*/,
                 const http_server::responder& respond) {
            respond(MetricsResponse(metrics_));
          },
          budget_, listener_kind::probe),
      control_(loop, clock, metrics_, settings_.control, ClientHooks(),
               settings_.control_timing) {}

std::optional<std::string> run_agent_process::Start() {
  if (!http_.Listen(settings_.listen_http)) {
    return "cannot listen on " + settings_.listen_http.ToString();
  }
  if (!metrics_http_.Listen(settings_.listen_metrics)) {
    return "cannot listen on " + settings_.listen_metrics.ToString();
  }
  tick_timer_ = loop_.Every(run_controller::kTickPeriod, [this] { Tick(); });
  announce_timer_ = loop_.Every(kAnnouncePeriod, [this] { SendStates(); });
  log_.Write("started", {{"http", settings_.listen_http.ToString()},
                         {"data_centre", settings_.data_centre.Value()}});
  return std::nullopt;
}

void run_agent_process::Drain(std::function<void()> on_drained) {
  if (drain_start_) return;
  drain_start_ = clock_.SteadyNow();
  on_drained_ = std::move(on_drained);
  std::size_t runs = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    endpoint->StopAccepting();
    runs += endpoint->Runs();
  }
  log_.Write("stopping", {{"runs", runs}});
  SendStates();
}

void run_agent_process::SetControl(std::vector<socket_address> control) {
  control_.Client().SetAddresses(std::move(control));
}

control_client::hooks run_agent_process::ClientHooks() {
  control_client::hooks hooks;
  hooks.heartbeat = [this] { return Heartbeat(); };
  hooks.on_entries = [this](const std::vector<entry_address>& entries) {
    OnEntries(entries);
  };
  hooks.on_takeover = [](const ledger_record& /*record*/) {};
  hooks.on_newest = [](config_version /*newest*/) {};
  hooks.on_alike_agents = [this](std::uint32_t number) {
    alike_agents_ = number;
  };
  hooks.on_evacuations = [this](const evacuation_list& list) {
    OnEvacuations(list);
  };
  return hooks;
}

heartbeat_message run_agent_process::Heartbeat() const {
  heartbeat_message heartbeat;
  heartbeat.role = process_role::agent;
  heartbeat.id = settings_.id.Value();
  heartbeat.incarnation = incarnation_;
  heartbeat.data_centre = settings_.data_centre;
  heartbeat.http_address = http_.Address().ToString();
  heartbeat.leaving = drain_start_.has_value();
  heartbeat.endpoint_kind = EndpointKind();
  return heartbeat;
}

std::string run_agent_process::EndpointKind() const {
  std::string kind;
  for (const auto& [id, endpoint] : endpoints_) {
    const leased_endpoint& announced = endpoint->Endpoint();
    kind += announced.service.Value() + " " +
            std::to_string(announced.total.cpu_milli) + " " +
            std::to_string(announced.total.memory_mib) + " " +
            std::to_string(announced.total.accelerators) + ";";
  }
  return kind;
}

run_controller::hooks run_agent_process::RunHooks() {
  run_controller::hooks hooks;
  hooks.start = adapter_.start;
  hooks.stop = adapter_.stop;
  hooks.renew = adapter_.renew;
  hooks.on_end = [this](link_id link, const run_end& end) {
    links_.Send(link, end);
  };
  hooks.on_change = [this] { ScheduleStateUpdate(); };
  return hooks;
}

void run_agent_process::OnRequest(const http_request& request,
                                  const http_server::responder& respond) {
  const auto decoded = adapter_.decode(request);
  if (const auto* refused = std::get_if<http_response>(&decoded)) {
    metrics_.Counter("almond_agent_bad_announcements_total").Add();
    log_.Write("announcement_refused",
               {{"path", request.path}, {"status", refused->status}});
    respond(*refused);
    return;
  }
  if (const auto* gone = std::get_if<endpoint_departure>(&decoded)) {
    const auto found = endpoints_.find(gone->id);
    if (found != endpoints_.end()) found->second->OnDeparture();
  } else {
    const auto& announced = std::get<leased_endpoint>(decoded);
    auto& endpoint = endpoints_[announced.id];
    if (!endpoint) {
      const auto fence = std::chrono::duration_cast<milliseconds>(
                             clock_.WallNow().time_since_epoch())
                             .count();
      endpoint = std::make_unique<run_controller>(
          clock_, log_, metrics_, static_cast<std::uint64_t>(fence),
          RunHooks());
    }
    endpoint->OnAnnouncement(announced);
    endpoint->SetEvacuated(IsEvacuated(*endpoint));
  }
  respond(adapter_.acknowledge());
}

void run_agent_process::OnMessage(link_id link,
                                  const entry_run_message& message) {
  if (const auto* stop = std::get_if<run_stop>(&message)) {
    const auto found = endpoints_.find(stop->endpoint);
    if (found != endpoints_.end()) found->second->Stop(link, stop->key);
    return;
  }
  if (const auto* withdraw = std::get_if<run_withdraw>(&message)) {
    const auto found = endpoints_.find(withdraw->endpoint);
    if (found != endpoints_.end()) found->second->Withdraw(link, withdraw->key);
    return;
  }
  const auto& start = std::get<run_start>(message);
  orders_seen_[link] = start.order;
  const auto found = endpoints_.find(start.endpoint);
  if (found == endpoints_.end()) {
    links_.Send(link,
                run_end{start.endpoint, start.key, run_end_kind::not_run});
    return;
  }
  found->second->Start(link, start);
}

void run_agent_process::OnClosed(link_id link) {
  log_.Write("entry_lost", {{"link", link.Value()}});
  retiring_.erase(link);
  orders_seen_.erase(link);
  for (const auto& [id, endpoint] : endpoints_) endpoint->OnLinkClosed(link);
}

void run_agent_process::OnEntries(const std::vector<entry_address>& entries) {
  subset_.Update(entries, alike_agents_);
  std::vector<socket_address> addresses;
  addresses.reserve(subset_.Chosen().size());
  for (const entry_address& entry : subset_.Chosen()) {
    const auto address = socket_address::Parse(entry.peer_address);
    if (address) addresses.push_back(*address);
  }
  links_.SetEntries(addresses);
  RetireLinks();
}

void run_agent_process::OnEvacuations(const evacuation_list& list) {
  if (!evacuations_.ApplyIfNewer(list)) return;
  for (const auto& [id, endpoint] : endpoints_) {
    endpoint->SetEvacuated(IsEvacuated(*endpoint));
  }
  ReportEvacuations(evacuations_.Evacuations(), log_, metrics_);
}

bool run_agent_process::IsEvacuated(const run_controller& endpoint) const {
  return evacuations_.IsEvacuated(settings_.data_centre) ||
         evacuations_.IsEvacuated(endpoint.Endpoint().data_centre);
}

void run_agent_process::RetireLinks() {
  const steady_time now = clock_.SteadyNow();
  std::map<link_id, steady_time> retiring;
  std::vector<socket_address> unused;
  for (const entry_address& entry : subset_.Retired()) {
    const auto address = socket_address::Parse(entry.peer_address);
    if (!address) continue;
    const link_id link = links_.LinkTo(*address);
    const auto known = retiring_.find(link);
    const steady_time since = known == retiring_.end() ? now : known->second;
    retiring[link] = since;
    if (now - since >= kRetiringPeriod && !HasRuns(link)) {
      unused.push_back(*address);
    }
  }
  const bool changed = retiring != retiring_;
  retiring_ = std::move(retiring);
  if (changed) ScheduleStateUpdate();
  for (const socket_address& address : unused) {
    log_.Write("entry_retired", {{"entry", address.ToString()},
                                 {"links", links_.Connected() - 1}});
    links_.Close(address);
  }
}

bool run_agent_process::HasRuns(link_id link) const {
  return std::any_of(
      endpoints_.begin(), endpoints_.end(),
      [link](const auto& entry) { return entry.second->HasRuns(link); });
}

void run_agent_process::ScheduleStateUpdate() {
  if (state_timer_.Active()) return;
  state_timer_ = loop_.After(kStateBatchPeriod, [this] { SendStates(); });
}

void run_agent_process::SendStates() {
  state_timer_.Reset();
  for (const link_id link : links_.Links()) SendStatesTo(link);
}

void run_agent_process::SendStatesTo(link_id link) {
  for (const auto& [id, endpoint] : endpoints_) {
    endpoint_state state = endpoint->State();
    state.data_centre = settings_.data_centre;
    const auto seen = orders_seen_.find(link);
    state.orders_seen = seen == orders_seen_.end() ? 0 : seen->second;
    if (retiring_.contains(link)) state.accepting = false;
    links_.Send(link, state);
  }
}

void run_agent_process::Tick() {
  std::size_t runs = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    endpoint->Tick();
    runs += endpoint->Runs();
  }
  metrics_.Gauge("almond_agent_runs").Set(static_cast<double>(runs));
  metrics_.Gauge("almond_agent_links")
      .Set(static_cast<double>(links_.Connected()));
  if (!drain_start_ || !on_drained_) return;
  if (runs > 0 &&
      clock_.SteadyNow() - *drain_start_ < settings_.drain_timeout) {
    return;
  }
  log_.Write("stopped", {{"runs", runs}});
  std::exchange(on_drained_, nullptr)();
}

}  // namespace almond
