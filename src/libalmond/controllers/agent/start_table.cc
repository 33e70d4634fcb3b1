#include "libalmond/controllers/agent/start_table.h"

#include <algorithm>

namespace almond {

start_table::begin_outcome start_table::Begin(const task_name& name,
                                              owner_epoch epoch) {
  const auto fence = min_epochs_.find(name.submission);
  if (fence != min_epochs_.end() && epoch < fence->second) {
    return begin_outcome::fenced;
  }
  const auto [position, inserted] = records_.try_emplace(name);
  if (!inserted) {
    return position->second.state == task_state::fenced ? begin_outcome::fenced
                                                        : begin_outcome::known;
  }
  position->second.state = task_state::running;
  position->second.changed = clock_.SteadyNow();
  submissions_[name.submission].push_back(name.index);
  ++running_;
  return begin_outcome::accepted;
}

void start_table::End(const answer_message& answer) {
  const auto position = records_.find(answer.name);
  if (position == records_.end()) return;
  record& entry = position->second;
  if (entry.state != task_state::running) return;
  --running_;
  if (answer.outcome == start_outcome::refused ||
      answer.outcome == start_outcome::not_sent) {
    Erase(position);
    return;
  }
  entry.state = task_state::ended;
  entry.answer = answer;
  entry.answer.next_grant.reset();
  answer_bytes_ += answer.body.size();
  Keep(answer.name, entry);
  DropOldestAnswers();
}

void start_table::Keep(const task_name& name, record& entry) {
  entry.changed = clock_.SteadyNow();
  expiries_.push_back({entry.changed + limits_.retention, name});
}

task_report start_table::Report(const task_name& name, bool fence) {
  task_report report;
  report.name = name;
  const auto position = records_.find(name);
  if (position != records_.end()) {
    report.state = position->second.state;
    if (report.state == task_state::ended) {
      report.answer = position->second.answer;
    }
    return report;
  }
  report.state = fence ? task_state::fenced : task_state::never;
  if (fence) {
    record& entry = records_[name];
    entry.state = task_state::fenced;
    submissions_[name.submission].push_back(name.index);
    Keep(name, entry);
  }
  return report;
}

std::vector<task_report> start_table::Answer(const query_message& query) {
  const bool other_incarnation = query.incarnation != incarnation_id() &&
                                 query.incarnation != incarnation_;
  std::vector<task_report> reports;
  if (query.submission) return AnswerSubmission(query);
  reports.reserve(query.names.size());
  for (const task_name& name : query.names) {
    if (other_incarnation) {
      reports.push_back({name, task_state::unknown, {}});
    } else {
      reports.push_back(Report(name, query.fence));
    }
  }
  return reports;
}

std::vector<task_report> start_table::AnswerSubmission(
    const query_message& query) {
  std::vector<task_report> reports;
  const uuid& submission = *query.submission;
  if (query.fence) {
    owner_epoch& minimum = min_epochs_[submission];
    minimum = std::max(minimum, query.epoch);
    for (std::uint32_t index = 0; index < query.task_count; ++index) {
      reports.push_back(Report({submission, index}, true));
    }
    return reports;
  }
  const auto known = submissions_.find(submission);
  if (known == submissions_.end()) return reports;
  for (const std::uint32_t index : known->second) {
    reports.push_back(Report({submission, index}, false));
  }
  return reports;
}

void start_table::Forget(const std::vector<task_name>& names) {
  for (const task_name& name : names) {
    const auto position = records_.find(name);
    if (position != records_.end() &&
        position->second.state == task_state::ended) {
      Erase(position);
    }
  }
}

void start_table::Erase(
    std::unordered_map<task_name, record>::iterator position) {
  const task_name name = position->first;
  answer_bytes_ -= position->second.answer.body.size();
  records_.erase(position);
  const auto submission = submissions_.find(name.submission);
  std::erase(submission->second, name.index);
  if (!submission->second.empty()) return;
  submissions_.erase(submission);
  min_epochs_.erase(name.submission);
}

void start_table::Expire() {
  const steady_time now = clock_.SteadyNow();
  while (!expiries_.empty() && expiries_.front().time <= now) {
    const auto position = records_.find(expiries_.front().name);
    expiries_.pop_front();
    // The name may have been forgotten and used again since.
    if (position == records_.end()) continue;
    const record& entry = position->second;
    if (entry.state == task_state::running) continue;
    if (entry.changed + limits_.retention <= now) Erase(position);
  }
}

void start_table::DropOldestAnswers() {
  for (const expiry& oldest : expiries_) {
    if (answer_bytes_ <= limits_.max_answer_bytes) return;
    const auto position = records_.find(oldest.name);
    if (position == records_.end()) continue;
    record& entry = position->second;
    if (entry.state != task_state::ended || entry.answer.body.empty()) continue;
    answer_bytes_ -= entry.answer.body.size();
    entry.answer.body.clear();
    entry.state = task_state::unknown;
  }
}

}  // namespace almond
