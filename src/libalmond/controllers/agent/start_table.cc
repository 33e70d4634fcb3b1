#include "libalmond/controllers/agent/start_table.h"

#include <algorithm>

namespace almond {

start_table::begin_outcome start_table::Check(const task_name& name,
                                              owner_epoch epoch) const {
  // Check for a known name before the fence of the epoch: `fenced` means that
  // the task was not run, which would be wrong for a name that was started.
  const auto position = records_.find(name);
  if (position != records_.end()) {
    return position->second.state == task_state::fenced ? begin_outcome::fenced
                                                        : begin_outcome::known;
  }
  if (Superseded(name.submission, epoch)) return begin_outcome::fenced;
  if (MayHaveExpired(name.submission)) return begin_outcome::known;
  if (records_.size() - fences_ >= limits_.max_names) {
    return begin_outcome::full;
  }
  return begin_outcome::accepted;
}

start_table::begin_outcome start_table::Begin(const task_name& name,
                                              owner_epoch epoch) {
  const begin_outcome outcome = Check(name, epoch);
  if (outcome != begin_outcome::accepted) return outcome;
  Insert(name, task_state::running);
  ++running_;
  return outcome;
}

start_table::record& start_table::Insert(const task_name& name,
                                         task_state state) {
  record& entry = records_[name];
  entry.state = state;
  submissions_[name.submission].insert(name.index);
  return entry;
}

bool start_table::Superseded(const uuid& submission, owner_epoch epoch) const {
  const auto fence = epoch_fences_.find(submission);
  return fence != epoch_fences_.end() && epoch < fence->second.minimum;
}

void start_table::End(const answer_message& answer) {
  const auto position = records_.find(answer.name);
  if (position == records_.end()) return;
  record& entry = position->second;
  if (entry.state != task_state::running) return;
  --running_;
  // Scheduled first, because Erase expects a position in expiries_.
  ScheduleExpiry(answer.name, entry);
  entry.state = task_state::ended;
  if (answer.outcome == start_outcome::refused ||
      answer.outcome == start_outcome::not_sent) {
    Erase(position);
    return;
  }
  entry.answer = answer;
  entry.answer.next_grant.reset();
  if (answer.body.empty()) return;
  answer_bytes_ += answer.body.size();
  entry.stored_position =
      stored_answers_.insert(stored_answers_.end(), answer.name);
  DropOldestAnswers();
}

void start_table::ScheduleExpiry(const task_name& name, record& entry) {
  entry.changed = clock_.SteadyNow();
  entry.expiry = expiries_.insert(expiries_.end(), name);
}

bool start_table::MayHaveExpired(const uuid& submission) const {
  return submission.IsV7() && clock_.WallNow() - submission.Timestamp() >=
                                  limits_.retention - limits_.age_margin;
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
  const bool full = fence && fences_ >= limits_.max_fences;
  if (full || MayHaveExpired(name.submission)) {
    report.state = task_state::unknown;
  } else if (!fence) {
    report.state = task_state::not_seen;
  } else {
    report.state = task_state::fenced;
    ++fences_;
    ScheduleExpiry(name, Insert(name, task_state::fenced));
  }
  return report;
}

std::vector<task_report> start_table::AnswerQuery(const query_message& query) {
  const bool other_incarnation = query.incarnation != incarnation_id() &&
                                 query.incarnation != incarnation_;
  if (query.submission) return AnswerSubmission(query, other_incarnation);
  std::vector<task_report> reports;
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
    const query_message& query, bool other_incarnation) {
  std::vector<task_report> reports;
  const uuid& submission = *query.submission;
  const std::uint32_t count = std::min(query.task_count, kMaxQueryTasks);
  const bool fenced = !other_incarnation && query.fence &&
                      FenceSubmission(submission, query.epoch);
  for (std::uint32_t index = 0; index < count; ++index) {
    const task_name name{submission, index};
    const bool absent = records_.count(name) == 0;
    if (other_incarnation || (absent && query.fence && !fenced)) {
      reports.push_back({name, task_state::unknown, {}});
    } else {
      reports.push_back(Report(name, query.fence));
    }
  }
  const auto known = submissions_.find(submission);
  if (known == submissions_.end() || other_incarnation) return reports;
  for (auto index = known->second.lower_bound(count);
       index != known->second.end(); ++index) {
    reports.push_back(Report({submission, *index}, false));
  }
  return reports;
}

bool start_table::FenceSubmission(const uuid& submission, owner_epoch epoch) {
  auto position = epoch_fences_.find(submission);
  if (position == epoch_fences_.end()) {
    if (epoch_fences_.size() >= limits_.max_fences) return false;
    position = epoch_fences_.try_emplace(submission).first;
  } else {
    epoch_expiries_.erase(position->second.expiry);
  }
  epoch_fence& fence = position->second;
  fence.minimum = std::max(fence.minimum, epoch);
  fence.changed = clock_.SteadyNow();
  fence.expiry = epoch_expiries_.insert(epoch_expiries_.end(), submission);
  return true;
}

void start_table::Forget(const std::vector<task_name>& names) {
  for (const task_name& name : names) {
    const auto position = records_.find(name);
    if (position == records_.end()) continue;
    record& entry = position->second;
    if (entry.forgotten || entry.state == task_state::running ||
        entry.state == task_state::fenced) {
      continue;
    }
    DropAnswerBody(entry);
    entry.state = task_state::unknown;
    entry.forgotten = true;
    entry.changed = clock_.SteadyNow();
    forgotten_.splice(forgotten_.end(), expiries_, entry.expiry);
  }
}

void start_table::DropAnswerBody(record& entry) {
  if (entry.answer.body.empty()) return;
  answer_bytes_ -= entry.answer.body.size();
  stored_answers_.erase(entry.stored_position);
  entry.answer.body = std::string();
}

void start_table::Erase(record_map::iterator position) {
  const task_name name = position->first;
  record& entry = position->second;
  DropAnswerBody(entry);
  if (entry.state == task_state::fenced) --fences_;
  (entry.forgotten ? forgotten_ : expiries_).erase(entry.expiry);
  records_.erase(position);
  const auto submission = submissions_.find(name.submission);
  submission->second.erase(name.index);
  if (submission->second.empty()) submissions_.erase(submission);
}

void start_table::Expire() {
  ExpireNames(expiries_, limits_.retention);
  ExpireNames(forgotten_, limits_.forgotten_retention);
  const steady_time now = clock_.SteadyNow();
  while (!epoch_expiries_.empty()) {
    const auto position = epoch_fences_.find(epoch_expiries_.front());
    if (now - position->second.changed < limits_.retention) return;
    epoch_fences_.erase(position);
    epoch_expiries_.pop_front();
  }
}

void start_table::ExpireNames(name_list& names, duration retention) {
  const steady_time now = clock_.SteadyNow();
  while (!names.empty()) {
    const auto position = records_.find(names.front());
    if (now - position->second.changed < retention) return;
    Erase(position);
  }
}

void start_table::DropOldestAnswers() {
  while (answer_bytes_ > limits_.max_answer_bytes && !stored_answers_.empty()) {
    record& entry = records_.at(stored_answers_.front());
    DropAnswerBody(entry);
    // A failure is reported by its status; only a result needs its body.
    if (entry.answer.outcome == start_outcome::done) {
      entry.state = task_state::unknown;
    }
  }
}

}  // namespace almond
