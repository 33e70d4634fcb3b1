#include "libalmond/processes/agent_process.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libalmond/core/logging.h"
#include "libalmond/processes/endpoint_codec.h"
#include "libalmond/wire/dispatch_codec.h"

namespace almond {
namespace {

// A later incarnation has a larger number, and its number tells when it began.
incarnation_id NewIncarnation(const clock_interface& clock) {
  const auto since_epoch = std::chrono::duration_cast<milliseconds>(
      clock.WallNow().time_since_epoch());
  return incarnation_id(static_cast<std::uint64_t>(since_epoch.count()));
}

}  // namespace

agent_process::agent_process(event_loop& loop, const clock_interface& clock,
                             agent_settings settings)
    : loop_(loop),
      clock_(clock),
      settings_(std::move(settings)),
      incarnation_(NewIncarnation(clock)),
      starts_(clock, incarnation_, {}),
      slots_(clock),
      http_(loop, [this](const http_request& request,
                         const http_server::responder& respond) {
        OnHttp(request, respond);
      }) {}

bool agent_process::Start() {
  if (!http_.Listen(settings_.listen_http)) return false;
  SetEntries(settings_.entries);
  tick_timer_ = loop_.Every(kTickPeriod, [this] { Tick(); });
  announce_timer_ = loop_.Every(kAnnouncePeriod, [this] { Announce(); });
  return true;
}

void agent_process::Leave(std::function<void()> on_drained) {
  if (!leaving_) {
    leaving_ = true;
    leave_time_ = clock_.SteadyNow();
    LOG(INFO) << "leaving with " << starts_.Running() << " tasks running";
  }
  if (on_drained) on_drained_ = std::move(on_drained);
  UpdateSlots();
  Announce();
}

void agent_process::UpdateSlots() {
  slots_.SetSlots(endpoint_ && !leaving_ ? endpoint_->slots : 0);
  Allocate();
}

void agent_process::Tick() {
  if (endpoint_ && clock_.SteadyNow() - last_announcement_ > kEndpointTimeout) {
    LOG(WARNING) << "endpoint " << endpoint_->address.ToString()
                 << " no longer announces itself";
    endpoint_.reset();
    UpdateSlots();
    Announce();
  }
  starts_.Expire();
  Allocate();
  CheckDrained();
}

void agent_process::CheckDrained() {
  // Grants may be used until their lease ends.
  if (!on_drained_ || starts_.Running() > 0) return;
  if (clock_.SteadyNow() - leave_time_ < slot_controller::kLease) return;
  std::exchange(on_drained_, nullptr)();
}

void agent_process::OnHttp(const http_request& request,
                           const http_server::responder& respond) {
  if (request.path == "/v1/endpoint" && request.method == "PUT") {
    respond(PutEndpoint(request));
  } else if (request.path == "/v1/endpoint" && request.method == "DELETE") {
    Leave({});
    respond({200, {}, "{}"});
  } else if (request.path == "/metrics" && request.method == "GET") {
    respond({200, {}, metrics_.Exposition()});
  } else if (request.path == "/healthz" && request.method == "GET") {
    const bool healthy = endpoint_ && !leaving_;
    respond({healthy ? 200 : 503,
             {},
             healthy ? "{}" : R"({"reason":"no-endpoint"})"});
  } else {
    respond({404, {}, R"({"reason":"unknown-path"})"});
  }
}

http_response agent_process::PutEndpoint(const http_request& request) {
  const auto announcement = ParseEndpointAnnouncement(request.body);
  if (!announcement) {
    return {400, {}, R"({"reason":"bad-request","outcome":"not-run"})"};
  }
  const bool first = !endpoint_;
  endpoint_ = *announcement;
  last_announcement_ = clock_.SteadyNow();
  UpdateSlots();
  if (first) {
    LOG(INFO) << "endpoint " << endpoint_->address.ToString() << " of service "
              << endpoint_->service << " announced itself";
    Announce();
  }
  return {200, {}, "{}"};
}

void agent_process::SetEntries(const std::vector<socket_address>& entries) {
  for (auto position = entries_.begin(); position != entries_.end();) {
    if (std::find(entries.begin(), entries.end(), position->first) !=
        entries.end()) {
      ++position;
      continue;
    }
    slots_.RemoveEntry(position->second.link);
    position = entries_.erase(position);
  }
  for (const socket_address& address : entries) {
    if (entries_.count(address) == 0) Dial(address);
  }
}

void agent_process::Dial(const socket_address& address) {
  peer_dialer::hooks hooks;
  hooks.on_connected = [this, address] { OnConnected(address); };
  hooks.on_frame = [this, address](const frame& encoded) {
    OnFrame(address, encoded);
  };
  hooks.on_closed = [this, address](const std::string& reason) {
    LOG(INFO) << "connection to entry " << address.ToString()
              << " ended: " << reason;
    OnClosed(address);
  };
  entries_[address].dialer =
      std::make_unique<peer_dialer>(loop_, clock_, address, std::move(hooks));
}

void agent_process::OnConnected(const socket_address& address) {
  entry_connection& connection = entries_.at(address);
  last_link_ = last_link_.Next();
  connection.link = last_link_;
  slots_.AddEntry(connection.link);
  Announce();
  Allocate();
}

void agent_process::OnClosed(const socket_address& address) {
  slots_.RemoveEntry(entries_.at(address).link);
  Allocate();
}

void agent_process::OnFrame(const socket_address& address,
                            const frame& encoded) {
  const auto message = DecodeEntryMessage(encoded);
  if (!message) {
    metrics_.Counter("almond_bad_frames_total").Add();
    return;
  }
  OnMessage(entries_.at(address), *message);
}

void agent_process::OnMessage(entry_connection& from,
                              const entry_message& message) {
  if (const auto* start = std::get_if<start_message>(&message)) {
    OnStart(from, *start);
  } else if (const auto* demand = std::get_if<demand_message>(&message)) {
    slots_.SetDemand(from.link, demand->backlog);
    Allocate();
  } else if (const auto* unused =
                 std::get_if<return_grants_message>(&message)) {
    slots_.Return(from.link, unused->grants);
    Allocate();
  } else if (const auto* query = std::get_if<query_message>(&message)) {
    OnQuery(from, *query);
  } else if (const auto* forget = std::get_if<forget_message>(&message)) {
    starts_.Forget(forget->names);
  } else if (const auto* cancel = std::get_if<cancel_message>(&message)) {
    OnCancel(*cancel);
  }
}

void agent_process::OnStart(entry_connection& from,
                            const start_message& start) {
  metrics_.Counter("almond_starts_received_total").Add();
  slots_.SetDemand(from.link, start.backlog);
  answer_message refused;
  refused.name = start.name;
  refused.outcome = start_outcome::not_sent;
  if (!endpoint_ || !slots_.Use(from.link, start.grant)) {
    metrics_.Counter("almond_starts_refused_total", "reason=\"grant-expired\"")
        .Add();
    Send(from.link, refused);
    return;
  }
  const auto outcome = starts_.Begin(start.name, start.epoch);
  if (outcome != start_table::begin_outcome::accepted) {
    slots_.Release();
    if (outcome == start_table::begin_outcome::fenced) {
      refused.outcome = start_outcome::fenced;
      Send(from.link, refused);
    }
    // For a known name the answer to the first start is the answer.
    Allocate();
    return;
  }
  origins_[start.name] = from.link;
  StartOnEndpoint(start);
}

void agent_process::StartOnEndpoint(const start_message& start) {
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
  metrics_.Counter("almond_starts_total").Add();
  SendHttpRequest(
      loop_, endpoint_->address, request, start.time_left + kAnswerGrace,
      [this, name = start.name,
       started = clock_.SteadyNow()](const http_call_result& result) {
        OnEndpointAnswer(name, started, result);
      });
}

void agent_process::OnEndpointAnswer(const task_name& name, steady_time started,
                                     const http_call_result& result) {
  answer_message answer;
  answer.name = name;
  answer.run_time =
      std::chrono::duration_cast<milliseconds>(clock_.SteadyNow() - started);
  answer.outcome = StartOutcome(result);
  if (result.outcome == http_call_outcome::answered) {
    answer.status = static_cast<std::uint16_t>(result.response.status);
    answer.body = result.response.body;
  }
  End(std::move(answer));
}

void agent_process::End(answer_message answer) {
  starts_.End(answer);
  slots_.Release();
  const auto origin = origins_.find(answer.name);
  const link_id link = origin->second;
  origins_.erase(origin);
  slot_controller::actions actions = slots_.Allocate();
  for (auto& action : actions.grants) {
    if (action.entry != link || action.grants.empty()) continue;
    answer.next_grant = action.grants.back();
    action.grants.pop_back();
  }
  Send(link, answer);
  for (const auto& action : actions.grants) {
    if (action.grants.empty()) continue;
    Send(action.entry, grant_message{action.grants, slot_controller::kLease});
  }
  for (const auto& action : actions.recalls) {
    Send(action.entry, recall_message{action.count});
  }
}

void agent_process::OnQuery(entry_connection& from,
                            const query_message& query) {
  query_answer_message answer;
  answer.query = query.query;
  answer.agent = settings_.id;
  answer.incarnation = incarnation_;
  answer.tasks = starts_.Answer(query);
  for (const task_report& report : answer.tasks) {
    // The asking connection takes over the answers of running tasks.
    if (report.state == task_state::running) origins_[report.name] = from.link;
  }
  Send(from.link, answer);
}

void agent_process::OnCancel(const cancel_message& cancel) {
  if (!endpoint_ || !endpoint_->controls.stop) return;
  for (const task_name& name : cancel.names) {
    if (origins_.count(name) == 0) continue;
    http_request request;
    request.method = "POST";
    request.path = "/tasks/" + ToString(name) + "/stop";
    SendHttpRequest(loop_, endpoint_->address, request, kEndpointTimeout,
                    [](const http_call_result& /*result*/) {});
  }
}

void agent_process::Allocate() {
  const slot_controller::actions actions = slots_.Allocate();
  for (const auto& action : actions.grants) {
    Send(action.entry, grant_message{action.grants, slot_controller::kLease});
  }
  for (const auto& action : actions.recalls) {
    Send(action.entry, recall_message{action.count});
  }
}

void agent_process::Announce() {
  announce_message message;
  message.agent = settings_.id;
  message.incarnation = incarnation_;
  message.data_centre = settings_.data_centre;
  message.leaving = leaving_;
  if (endpoint_) {
    message.service = endpoint_->service;
    message.slots = endpoint_->slots;
    message.cpu_milli = endpoint_->cpu_milli;
    message.memory_mib = endpoint_->memory_mib;
    message.controls = endpoint_->controls;
  }
  for (const auto& [address, connection] : entries_) {
    connection.dialer->Send(EncodeAgentMessage(message));
  }
}

void agent_process::Send(link_id link, const agent_message& message) {
  for (const auto& [address, connection] : entries_) {
    if (connection.link != link) continue;
    connection.dialer->Send(EncodeAgentMessage(message));
    return;
  }
}

}  // namespace almond
