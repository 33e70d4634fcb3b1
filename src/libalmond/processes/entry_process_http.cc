#include <nlohmann/json.hpp>
#include <utility>

#include "libalmond/processes/daemon_log.h"
#include "libalmond/processes/entry_codec.h"
#include "libalmond/processes/entry_process.h"

namespace almond {
void entry_process::OnHttp(const http_request& request,
                           const http_server::responder& respond) {
  const bool is_get = request.method == "GET";
  if (is_get && request.path == "/metrics") {
    respond(MetricsResponse(metrics_));
  } else if (is_get && request.path == "/healthz") {
    respond(Health());
  } else if (is_get && request.path == "/v1/config" && hooks_.config_report) {
    respond(hooks_.config_report());
  } else if (IsJobPath(request.path)) {
    OnJobRequest(request, respond);
  } else {
    OnSubmission(request, respond);
  }
}

http_response entry_process::Health() const {
  if (draining_) return {503, {}, R"({"reason":"draining"})"};
  if (!config_) return {503, {}, R"({"reason":"no-configuration"})"};
  const std::string reason = hooks_.unhealthy ? hooks_.unhealthy() : "";
  if (!reason.empty()) return {503, {}, R"({"reason":")" + reason + "\"}"};
  nlohmann::json body = {{"state", "active"}};
  if (hooks_.config_report) {
    body["config"] = nlohmann::json::parse(hooks_.config_report().body, nullptr,
                                           /*allow_exceptions=*/false);
  }
  return {200, {}, body.dump()};
}

void entry_process::OnJobRequest(const http_request& request,
                                 const http_server::responder& respond) {
  const auto path = ParseJobRequest(request);
  if (const auto* refused = std::get_if<refusal>(&path)) {
    Refuse(*refused, respond);
    return;
  }
  const uuid submission = std::get<uuid>(path);
  std::optional<cancel_outcome> cancelled;
  if (request.method == "DELETE") cancelled = submissions_.Cancel(submission);
  submissions_.Find(submission, [this, respond, cancelled](
                                    const std::optional<job_result>& answer) {
    if (!answer) {
      respond(RunningResponse(cancelled));
      return;
    }
    const auto* failed = std::get_if<job_failure>(&*answer);
    if (failed != nullptr && !IsJobFailure(failed->cause)) {
      Refuse(failed->cause, respond);
    } else {
      respond(JobResponse(*answer));
    }
  });
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
    RefuseSubmission(context, /*complete=*/false, *refused, respond);
    return;
  }
  const bool known =
      context.submission && submissions_.HasSubmission(*context.submission);
  if (!known) {
    if (const auto refused = admission_filters_.Run(context)) {
      RefuseSubmission(context, /*complete=*/true, *refused, respond);
      return;
    }
  }
  Submit(context, respond);
}

void entry_process::RefuseSubmission(request_context& context, bool complete,
                                     const refusal& refused,
                                     const http_server::responder& respond) {
  if (!context.submission) {
    Refuse(refused, respond);
    return;
  }
  // An earlier request with this id may have been accepted, by any entry or
  // with an earlier configuration, so the ledger is asked before the refusal.
  // The digest cannot be computed if the filters did not complete the request.
  named_submission named;
  named.tasks = MakeTasks(context);
  named.deadline = context.deadline;
  if (complete) {
    named.digest = SubmissionDigest(named.tasks);
  } else {
    named.deadline =
        clock_.SteadyNow() +
        context.timeout.value_or(submission_controller::kClaimTimeout);
  }
  submissions_.RefuseUnlessRecorded(std::move(named), refused,
                                    AnswerHook(context.is_job, respond));
}

job_controller::answer_hook entry_process::AnswerHook(
    bool is_job, const http_server::responder& respond) {
  return [this, respond, is_job](const job_result& answer) {
    if (const auto* failed = std::get_if<job_failure>(&answer)) {
      metrics_.Refusals(failed->cause.reason).Add();
    }
    respond(is_job ? JobResponse(answer) : RequestResponse(answer));
  };
}

void entry_process::Submit(request_context& context,
                           const http_server::responder& respond) {
  auto on_answer = AnswerHook(context.is_job, respond);
  std::vector<task> tasks = MakeTasks(context);
  if (!context.submission) {
    // Jobs are not retried, even with a single task.
    requests_.Submit(std::move(tasks), context.idempotent && !context.is_job,
                     std::move(on_answer));
    return;
  }
  named_submission named;
  named.digest = SubmissionDigest(tasks);
  named.tasks = std::move(tasks);
  named.deadline = context.deadline;
  submissions_.Submit(std::move(named), std::move(on_answer));
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

}  // namespace almond
