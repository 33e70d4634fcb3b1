#include "run_verdict.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace almond {
namespace {

/// Time within which an accepted version must be in force at every reachable
/// process.
constexpr std::int64_t kInForceTimeoutMs = 5000;
constexpr std::size_t kMaxPrintedViolations = 20;

std::int64_t Millis(wall_time time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
      .count();
}

bool Reached(const call_record& call) { return call.reason != "no-connection"; }

/// @returns true for an end state recorded in the ledger, as opposed to the
///   refusal of a single call
bool IsEndState(const std::string& reason) {
  static const std::set<std::string> end_states = {
      "complete", "task-failed", "endpoint-lost", "agent-lost", "owner-lost"};
  return end_states.count(reason) > 0;
}

std::string Seconds(std::int64_t ms) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << static_cast<double>(ms) / 1000
      << " s";
  return out.str();
}

}  // namespace

run_verdict::run_verdict(const run_history& history)
    : history_(history), calls_by_work_(history.works.size()) {
  for (const char* kind : {"duplicate start", "false not-run", "false ran",
                           "wrong answer", "changed answer", "version"}) {
    violation_counts_[kind] = 0;
  }
  for (const call_record& call : history_.calls) {
    if (Reached(call)) ++calls_by_work_[call.work];
  }
  CheckStarts();
  for (const call_record& call : history_.calls) CheckCall(call);
  CheckEndStates();
  CheckVersions();
}

void run_verdict::Violation(const std::string& kind,
                            const std::string& detail) {
  ++violation_counts_[kind];
  violations_.push_back(kind + ": " + detail);
}

void run_verdict::CheckStarts() {
  std::map<std::string, int> names;
  for (const logged_start& start : history_.starts) {
    starts_by_body_[start.body].push_back(start.epoch_ms);
    const std::string name = start.submission + " task " + start.task;
    if (++names[name] == 2) Violation("duplicate start", name);
  }
  for (const offered_work& work : history_.works) {
    for (const std::string& body : work.bodies) {
      const auto found = starts_by_body_.find(body);
      if (found == starts_by_body_.end() || found->second.size() < 2) continue;
      // Only plain requests of an idempotent kind may be retried.
      if (work.idempotent && work.id.empty() && !work.is_job) {
        retried_starts_ += found->second.size() - 1;
      } else {
        Violation("duplicate start", work.id + " body " + body);
      }
    }
  }
}

bool run_verdict::StartedBefore(const std::string& body,
                                const call_record& call) const {
  const auto found = starts_by_body_.find(body);
  if (found == starts_by_body_.end()) return false;
  // If several calls carry the body, a start after the end of this call may
  // belong to a later one.
  if (calls_by_work_[call.work] == 1) return true;
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](auto ms) { return ms <= Millis(call.ended); });
}

void run_verdict::CheckCall(const call_record& call) {
  const offered_work& work = history_.works[call.work];
  const auto started = std::count_if(
      work.bodies.begin(), work.bodies.end(),
      [&](const std::string& body) { return StartedBefore(body, call); });
  const std::string what = call.reason + (call.resend ? " again " : " ") +
                           work.id + " body " + work.bodies.front();
  if (call.outcome == "not-run" && started > 0) {
    Violation("false not-run", what);
  }
  // Excluded for the audit, since agents that have ended no longer hold their
  // results.
  if (!history_.allowed.empty() && !call.audit && call.reason != "complete" &&
      history_.allowed.count(call.reason) == 0) {
    Violation("request not served", what);
  }
  if (call.outcome == "ran" && started == 0) Violation("false ran", what);
  if (call.status == 200 && !IsExpectedAnswer(call, work)) {
    Violation("wrong answer", what);
  }
  if (call.status != 0 && work.is_job) CheckJobTasks(call, work);
}

void run_verdict::CheckJobTasks(const call_record& call,
                                const offered_work& work) {
  const auto answer = nlohmann::json::parse(call.body, nullptr, false);
  if (!answer.is_object() || !answer.contains("tasks")) return;
  for (const auto& task : answer["tasks"]) {
    const std::string& body = work.bodies.at(task.at("index"));
    if (task.at("outcome") == "not-run" && StartedBefore(body, call)) {
      Violation("false not-run", "task of " + work.id + " body " + body);
    }
  }
}

bool run_verdict::IsExpectedAnswer(const call_record& call,
                                   const offered_work& work) const {
  if (!work.is_job) return call.body == work.bodies.front();
  const auto answer = nlohmann::json::parse(call.body, nullptr, false);
  if (!answer.is_object() || answer.value("state", "") != "complete") {
    return false;
  }
  const auto& results = answer.at("results");
  if (results.size() != work.bodies.size()) return false;
  for (std::size_t i = 0; i < work.bodies.size(); ++i) {
    if (results[i].at("body") != work.bodies[i]) return false;
  }
  return true;
}

void run_verdict::CheckEndStates() {
  std::map<std::size_t, std::set<std::string>> ends;
  for (const call_record& call : history_.calls) {
    if (history_.works[call.work].id.empty()) continue;
    if (IsEndState(call.reason)) ends[call.work].insert(call.reason);
  }
  for (const auto& [work, reasons] : ends) {
    if (reasons.size() < 2) continue;
    std::string list;
    for (const std::string& reason : reasons) list += " " + reason;
    Violation("changed answer", history_.works[work].id + list);
  }
}

void run_verdict::CheckVersions() {
  std::map<std::size_t, std::uint64_t> newest;
  for (const version_sample& sample : history_.versions) {
    if (sample.restarted && sample.version == 0) continue;
    std::uint64_t& before = newest[sample.process];
    if (sample.version < before) {
      Violation("version", "process " + std::to_string(sample.process) +
                               " went from " + std::to_string(before) + " to " +
                               std::to_string(sample.version));
    }
    before = sample.version;
  }
  std::set<std::uint64_t> accepted;
  for (const fault_event& event : history_.events) {
    if (event.label != "accepted") continue;
    if (!accepted.insert(event.version).second) {
      Violation("version", std::to_string(event.version) + " accepted twice");
    }
    CheckInForce(event);
  }
}

void run_verdict::CheckInForce(const fault_event& accepted) {
  std::map<std::size_t, std::int64_t> lags;
  for (const version_sample& sample : history_.versions) {
    const std::int64_t lag = sample.epoch_ms - accepted.epoch_ms;
    if (lag < 0 || (sample.restarted && sample.version == 0)) continue;
    const bool in_force = sample.version >= accepted.version;
    if (in_force && lags.emplace(sample.process, lag).second) {
      slowest_version_ms_ = std::max(slowest_version_ms_, lag);
    }
    if (!in_force && lag > kInForceTimeoutMs) {
      Violation("version",
                std::to_string(accepted.version) + " not in force at process " +
                    std::to_string(sample.process) + " after " + Seconds(lag));
    }
  }
}

std::string run_verdict::FailureRows() const {
  std::map<std::string, std::map<std::string, std::size_t>> rows;
  for (const call_record& call : history_.calls) {
    if (call.reason == "complete") continue;
    const offered_work& work = history_.works[call.work];
    std::string column = !work.id.empty()  ? "named"
                         : work.is_job     ? "job"
                         : work.idempotent ? "stock-check"
                                           : "bill";
    if (call.resend) column = call.audit ? "audit" : "again";
    const std::string outcome =
        call.outcome.empty() ? "" : " (" + call.outcome + ")";
    ++rows[call.reason + outcome][column];
  }
  std::ostringstream out;
  for (auto& [reason, counts] : rows) {
    out << "  " << reason << ":";
    for (const auto& [column, count] : counts) {
      out << " " << column << " " << count;
    }
    out << "\n";
  }
  return out.str();
}

std::string run_verdict::RecoveryRows() const {
  if (history_.events.empty()) return "";
  std::int64_t last_failure = 0;
  for (const call_record& call : history_.calls) {
    if (call.reason == "complete" || !Reached(call) || call.resend) continue;
    last_failure = std::max(last_failure, Millis(call.sent));
  }
  std::map<std::size_t, std::int64_t> lost;
  std::int64_t slowest_end = 0;
  for (const call_record& call : history_.calls) {
    if (history_.works[call.work].id.empty()) continue;
    if (call.reason == "connection-lost") {
      lost.emplace(call.work, Millis(call.ended));
    } else if (call.status != 0 && lost.count(call.work) > 0 && !call.audit) {
      slowest_end =
          std::max(slowest_end, Millis(call.ended) - lost.at(call.work));
    }
  }
  std::ostringstream out;
  const auto first = history_.events.front().epoch_ms;
  out << "last failed request sent after the fault: "
      << (last_failure == 0 ? "none failed" : Seconds(last_failure - first))
      << "\n";
  out << "submissions with id and a lost call: " << lost.size()
      << ", slowest end " << Seconds(slowest_end) << " after the loss\n";
  if (slowest_version_ms_ >= 0) {
    out << "slowest version in force: " << Seconds(slowest_version_ms_) << "\n";
  }
  return out.str();
}

std::string run_verdict::MakeReport() const {
  std::ostringstream out;
  const auto complete = std::count_if(
      history_.calls.begin(), history_.calls.end(),
      [](const call_record& call) { return call.reason == "complete"; });
  out << "submissions " << history_.works.size() << ", calls "
      << history_.calls.size() << ", 200s " << complete << ", starts "
      << history_.starts.size() << ", retried starts " << retried_starts_
      << "\nother answers by reason (outcome):\n"
      << FailureRows() << RecoveryRows();
  std::string separator = "violations: ";
  for (const auto& [kind, count] : violation_counts_) {
    out << separator << kind << " " << count;
    separator = ", ";
  }
  out << "\n";
  for (std::size_t i = 0;
       i < std::min(violations_.size(), kMaxPrintedViolations); ++i) {
    out << "  " << violations_[i] << "\n";
  }
  return out.str();
}

}  // namespace almond
