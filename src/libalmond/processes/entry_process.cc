#include "libalmond/processes/entry_process.h"

#include <utility>

#include "libalmond/core/logging.h"
#include "libalmond/filters/entry_filters.h"
#include "libalmond/processes/entry_codec.h"
#include "libalmond/wire/dispatch_codec.h"

namespace almond {

entry_process::entry_process(event_loop& loop, const clock_interface& clock,
                             entry_settings settings)
    : loop_(loop),
      clock_(clock),
      settings_(std::move(settings)),
      incarnation_(
          static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                         clock.WallNow().time_since_epoch())
                                         .count())),
      random_(std::random_device{}()),
      dispatch_(clock, metrics_,
                {[this](link_id link, const entry_message& message) {
                   const auto found = links_.find(link);
                   if (found == links_.end()) return;
                   found->second->Send(EncodeEntryMessage(message));
                 },
                 [this](const task_end& end) { OnTaskEnd(end); },
                 [this](const team_id& team) -> std::uint32_t {
                   if (!config_) return 1;
                   const auto found = config_->teams.find(team);
                   return found == config_->teams.end() ? 1
                                                        : found->second.weight;
                 }}),
      jobs_(dispatch_),
      filters_(
          MakeEntryFilters({clock, [this] { return draining_; },
                            [this] { return config_ ? &*config_ : nullptr; }})),
      http_(loop,
            [this](const http_request& request,
                   const http_server::responder& respond) {
              OnHttp(request, respond);
            }),
      listener_(loop, clock, [this](const std::shared_ptr<peer_link>& link) {
        OnAccept(link);
      }) {}

bool entry_process::Start() {
  if (!http_.Listen(settings_.listen_http)) return false;
  if (!listener_.Listen(settings_.listen_peer)) return false;
  tick_timer_ = loop_.Every(kTickPeriod, [this] { Tick(); });
  hello_timer_ = loop_.Every(kHelloPeriod, [this] {
    for (const auto& [id, link] : links_) {
      link->Send(EncodeEntryMessage(
          entry_hello_message{settings_.id, incarnation_, {}}));
    }
  });
  return true;
}

void entry_process::Drain(std::function<void()> on_drained) {
  LOG(INFO) << "draining with " << http_.Pending() << " requests in progress";
  draining_ = true;
  on_drained_ = std::move(on_drained);
  http_.StopListening();
}

void entry_process::Tick() {
  dispatch_.Tick();
  metrics_.Gauge("almond_queued_tasks")
      .Set(static_cast<double>(dispatch_.Queued()));
  metrics_.Gauge("almond_running_tasks")
      .Set(static_cast<double>(dispatch_.InFlight()));
  if (on_drained_ && http_.Pending() == 0) {
    std::exchange(on_drained_, nullptr)();
  }
}

void entry_process::OnHttp(const http_request& request,
                           const http_server::responder& respond) {
  if (request.path == "/metrics" && request.method == "GET") {
    respond({200, {{"Content-Type", "text/plain"}}, metrics_.Exposition()});
  } else if (request.path == "/healthz" && request.method == "GET") {
    respond(Health());
  } else if (request.path.rfind("/v1/jobs/", 0) == 0) {
    respond(OnJobRequest(request));
  } else {
    OnSubmission(request, respond);
  }
}

http_response entry_process::Health() const {
  if (draining_) return {503, {}, R"({"reason":"draining"})"};
  if (!config_) return {503, {}, R"({"reason":"no-configuration"})"};
  return {200, {}, "{}"};
}

http_response entry_process::OnJobRequest(const http_request& request) {
  const auto path = ParseJobPath(request.path);
  if (const auto* refused = std::get_if<refusal>(&path)) {
    return RefusalResponse(*refused);
  }
  const uuid submission = std::get<uuid>(path);
  if (!jobs_.Runs(submission)) {
    return RefusalResponse(
        {refusal_reason::unknown_job, run_outcome::unknown, ""});
  }
  if (request.method == "DELETE") jobs_.Cancel(submission);
  return {202, {}, R"({"state":"running"})"};
}

void entry_process::Refuse(const refusal& refused,
                           const http_server::responder& respond) {
  metrics_.Refusals(refused.reason).Add();
  respond(RefusalResponse(refused));
}

void entry_process::OnSubmission(const http_request& request,
                                 const http_server::responder& respond) {
  auto parsed = ParseSubmission(request);
  if (const auto* refused = std::get_if<refusal>(&parsed)) {
    Refuse(*refused, respond);
    return;
  }
  auto& context = std::get<request_context>(parsed);
  if (const auto refused = filters_.Run(context)) {
    Refuse(*refused, respond);
    return;
  }
  const bool is_job = context.is_job;
  jobs_.Submit(
      MakeTasks(context), [this, respond, is_job](const job_answer& answer) {
        if (const auto* failed = std::get_if<job_failed>(&answer)) {
          metrics_.Refusals(failed->cause.reason).Add();
        }
        respond(is_job ? JobResponse(answer) : RequestResponse(answer));
      });
}

std::vector<task> entry_process::MakeTasks(request_context& context) {
  const uuid submission =
      context.submission.value_or(uuid::MakeV7(clock_.WallNow(), random_));
  std::vector<task> tasks;
  tasks.reserve(context.tasks.size());
  for (task_request& request : context.tasks) {
    task work;
    work.name = {submission, static_cast<std::uint32_t>(tasks.size())};
    work.service = context.service;
    work.team = context.team;
    work.kind = context.kind;
    work.body = std::move(request.body);
    work.size = request.size;
    work.deadline = context.deadline;
    work.named_submission = context.submission.has_value();
    tasks.push_back(std::move(work));
  }
  return tasks;
}

void entry_process::OnTaskEnd(const task_end& end) {
  if (std::holds_alternative<task_success>(end.result)) {
    metrics_.Counter("almond_tasks_completed_total").Add();
    metrics_.Distribution("almond_run_seconds").Add(end.run_time);
    metrics_.Distribution("almond_wait_seconds").Add(end.wait);
  } else {
    metrics_.Counter("almond_tasks_failed_total").Add();
  }
  jobs_.OnTaskEnd(end);
}

void entry_process::OnAccept(const std::shared_ptr<peer_link>& link) {
  last_link_ = last_link_.Next();
  const link_id id = last_link_;
  links_[id] = link;
  link->Start({[this, id](const frame& encoded) { OnFrame(id, encoded); },
               [this, id](const std::string& reason) {
                 LOG(INFO) << "connection of an agent ended: " << reason;
                 links_.erase(id);
                 dispatch_.OnAgentClosed(id);
               }});
}

void entry_process::OnFrame(link_id link, const frame& encoded) {
  const auto message = DecodeAgentMessage(encoded);
  if (message) {
    dispatch_.OnMessage(link, *message);
    return;
  }
  metrics_.Counter("almond_bad_frames_total").Add();
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  found->second->Close();
  links_.erase(found);
  dispatch_.OnAgentClosed(link);
}

}  // namespace almond
