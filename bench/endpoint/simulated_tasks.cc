#include "simulated_tasks.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace almond {
namespace {

constexpr std::string_view kTaskPrefix = "/tasks/";
/// Limit on the run time that a task body can request.
constexpr milliseconds kMaxRun{3600000};

http_response ReasonResponse(int status, const std::string& reason) {
  return {status, {}, nlohmann::json({{"reason", reason}}).dump()};
}

}  // namespace

void simulated_tasks::OnHttp(const http_request& request,
                             const http_server::responder& respond) {
  if (request.path == "/stats" && request.method == "GET") {
    respond(Stats());
    return;
  }
  if (request.method != "POST" || request.path.rfind(kTaskPrefix, 0) != 0) {
    respond(ReasonResponse(404, "unknown-path"));
    return;
  }
  const std::string rest = request.path.substr(kTaskPrefix.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos) {
    Start(rest, request, respond);
  } else {
    respond(Control(rest.substr(0, slash), rest.substr(slash + 1)));
  }
}

void simulated_tasks::Start(const std::string& id, const http_request& request,
                            const http_server::responder& respond) {
  if (std::uniform_real_distribution<>(0, 1)(random_) <
      settings_.refuse_share) {
    ++refused_;
    respond({503, {{"Almond-Outcome", "not-run"}}, ""});
    return;
  }
  ++starts_;
  if (settings_.on_start) settings_.on_start(request);
  if (++starts_by_id_[id] > 1) {
    duplicate_ids_.insert(id);
    // A duplicate start is counted, but not simulated again.
    respond(ReasonResponse(409, "doubled-start"));
    return;
  }
  task_state& task = tasks_[id];
  task.respond = respond;
  task.time_left = RunTime(request.body);
  task.body = request.body;
  ResumeTask(id, task);
  const auto running = static_cast<std::size_t>(
      std::count_if(tasks_.begin(), tasks_.end(),
                    [](const auto& item) { return !item.second.paused; }));
  max_running_ = std::max(max_running_, running);
}

milliseconds simulated_tasks::RunTime(const std::string& body) const {
  double run = static_cast<double>(settings_.default_run.count());
  const auto object =
      nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (object.is_object() && object.contains("ms") && object["ms"].is_number()) {
    run = object["ms"].get<double>();
  }
  run = std::clamp(run * settings_.slow_factor, 0.0,
                   static_cast<double>(kMaxRun.count()));
  return milliseconds(static_cast<std::int64_t>(run));
}

void simulated_tasks::ResumeTask(const std::string& id, task_state& task) {
  task.paused = false;
  task.checkpointed = false;
  task.time_slice_start = clock_.SteadyNow();
  task.timer = loop_.After(task.time_left, [this, id] { End(id); });
}

void simulated_tasks::Pause(task_state& task, steady_time now) {
  task.timer.Reset();
  task.paused = true;
  const auto ran =
      std::chrono::duration_cast<milliseconds>(now - task.time_slice_start);
  task.time_left = std::max(milliseconds(0), task.time_left - ran);
}

void simulated_tasks::End(const std::string& id) {
  const auto found = tasks_.find(id);
  const task_state task = std::move(found->second);
  tasks_.erase(found);
  ++(settings_.fail_all ? failed_ : completed_);
  if (settings_.fail_all) {
    task.respond(ReasonResponse(500, "fails-all"));
  } else {
    task.respond({200, {}, task.body});
  }
}

http_response simulated_tasks::Control(const std::string& id,
                                       const std::string& control) {
  const auto found = tasks_.find(id);
  if (found == tasks_.end()) return ReasonResponse(404, "unknown-task");
  task_state& task = found->second;
  if (control == "pause") {
    if (task.paused) return ReasonResponse(409, "paused");
    Pause(task, clock_.SteadyNow());
    ++pauses_;
  } else if (control == "resume") {
    if (!task.paused) return ReasonResponse(409, "running");
    ResumeTask(id, task);
  } else if (control == "checkpoint") {
    if (!task.paused) Pause(task, clock_.SteadyNow());
    task.checkpointed = true;
    ++checkpoints_;
  } else if (control == "stop") {
    const auto respond = task.respond;
    tasks_.erase(found);
    ++stopped_;
    respond(ReasonResponse(410, "stopped"));
  } else {
    return ReasonResponse(404, "unknown-control");
  }
  return {200, {}, "{}"};
}

http_response simulated_tasks::Stats() const {
  const auto paused =
      std::count_if(tasks_.begin(), tasks_.end(),
                    [](const auto& item) { return item.second.paused; });
  const nlohmann::json stats = {
      {"starts", starts_},
      {"distinct", starts_by_id_.size()},
      {"doubled", duplicate_ids_.size()},
      {"doubled_ids", duplicate_ids_},
      {"completed", completed_},
      {"failed", failed_},
      {"refused", refused_},
      {"stopped", stopped_},
      {"running", tasks_.size() - static_cast<std::size_t>(paused)},
      {"paused", paused},
      {"pauses", pauses_},
      {"checkpoints", checkpoints_},
      {"most_running", max_running_}};
  return {200, {{"Content-Type", "application/json"}}, stats.dump()};
}

}  // namespace almond
