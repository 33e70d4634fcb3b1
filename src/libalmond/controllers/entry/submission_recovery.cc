#include <algorithm>
#include <utility>

#include "libalmond/controllers/entry/submission_controller.h"

namespace almond {

void submission_controller::Follow(const uuid& id, active_submission& followed,
                                   const ledger_record& record) {
  followed.service = record.service;
  followed.task_count = record.task_count;
  followed.request_pending = false;
  switch (record.state) {
    case ledger_state::running:
      followed.state = phase::remote;
      followed.next_poll = clock_.SteadyNow() + followed.poll_period;
      followed.poll_period =
          std::min(followed.poll_period * 3 / 2, kMaxPollPeriod);
      return;
    case ledger_state::failed: {
      job_failure failed;
      failed.cause = record.failure;
      End(id, failed);
      return;
    }
    case ledger_state::complete:
      followed.state = phase::collecting;
      followed.collect_deadline = clock_.SteadyNow() + kCollectTimeout;
      Collect(id, followed);
      return;
  }
}

void submission_controller::Poll(const uuid& id, active_submission& polled) {
  polled.request_pending = true;
  ledger_.read(id, [this, id, generation = polled.generation](
                       const std::optional<ledger_read_reply_message>& reply) {
    active_submission* followed = FindActive(id, generation);
    if (followed == nullptr || followed->state != phase::remote) return;
    if (reply && reply->record) {
      Follow(id, *followed, *reply->record);
      return;
    }
    followed->request_pending = false;
    followed->next_poll = clock_.SteadyNow() + followed->poll_period;
  });
}

void submission_controller::Collect(const uuid& id,
                                    active_submission& collected) {
  if (!collected.collector) {
    collected.collector = std::make_shared<answer_collector>(
        dispatch_, collected.service, id, collected.task_count);
  }
  collected.request_pending = true;
  const bool fence = collected.state == phase::fencing;
  collected.collector->QueryAgents(
      fence, collected.epoch, [this, id, generation = collected.generation] {
        active_submission* active = FindActive(id, generation);
        if (active == nullptr) return;
        active->request_pending = false;
        active->next_poll = clock_.SteadyNow() + kMinPollPeriod;
        if (active->state == phase::fencing) {
          OnTakeoverCollected(id, *active);
        } else {
          OnCollected(id, *active);
        }
      });
}

void submission_controller::OnCollected(const uuid& id,
                                        active_submission& collected) {
  if (collected.collector->IsComplete()) {
    End(id, job_success{collected.collector->Bodies()});
  } else if (collected.collect_deadline <= clock_.SteadyNow()) {
    Refuse(id, {refusal_reason::answer_lost, run_outcome::unknown, ""});
  }
}

void submission_controller::TakeOver(const ledger_record& record) {
  const uuid& id = record.submission;
  if (const auto* ended = ended_.Find(id)) {
    Finish(id, record.epoch, ended->answer);
    return;
  }
  const auto found = active_.find(id);
  if (found != active_.end()) {
    active_submission& known = found->second;
    if (known.state == phase::fencing && known.epoch >= record.epoch) return;
    // A job running here continues if the ledger assigns it to this entry again
    // under a new epoch.
    if (known.state == phase::running) return;
  }
  active_submission& taken_over = active_[id];
  const steady_time now = clock_.SteadyNow();
  taken_over.generation = ++last_generation_;
  taken_over.state = phase::fencing;
  taken_over.digest = record.digest;
  taken_over.tasks.clear();
  taken_over.service = record.service;
  taken_over.task_count = record.task_count;
  taken_over.epoch = record.epoch;
  taken_over.accepted = record.accepted;
  taken_over.deadline = now + std::chrono::duration_cast<duration>(
                                  record.deadline - clock_.WallNow());
  taken_over.collect_deadline = now + kCollectTimeout;
  taken_over.collector.reset();
  Collect(id, taken_over);
}

void submission_controller::OnTakeoverCollected(const uuid& id,
                                                active_submission& taken_over) {
  const steady_time now = clock_.SteadyNow();
  const answer_collector& found = *taken_over.collector;
  job_failure lost;
  lost.cause = {refusal_reason::owner_lost, run_outcome::unknown, ""};
  job_result answer = lost;
  if (found.IsComplete()) {
    answer = job_success{found.Bodies()};
  } else {
    // Missing tasks may have run at agents that restarted or are disconnected,
    // so the outcome stays unknown.
    const bool may_end =
        !found.AnyRunning() &&
        (found.AnyFailed() || taken_over.collect_deadline <= now);
    const bool too_late =
        taken_over.deadline + dispatch_controller::kCancelGracePeriod <= now &&
        taken_over.collect_deadline <= now;
    if (!may_end && !too_late) return;
  }
  const owner_epoch epoch = taken_over.epoch;
  End(id, answer);
  Finish(id, epoch, answer);
}

void submission_controller::AnswerFromRecord(const ledger_record& record,
                                             const find_hook& on_answer) {
  if (record.state == ledger_state::running) {
    on_answer(std::nullopt);
    return;
  }
  if (record.state == ledger_state::failed) {
    job_failure failed;
    failed.cause = record.failure;
    on_answer(failed);
    return;
  }
  const auto collector = std::make_shared<answer_collector>(
      dispatch_, record.service, record.submission, record.task_count);
  collector->QueryAgents(false, record.epoch, [collector, on_answer] {
    if (collector->IsComplete()) {
      on_answer(job_success{collector->Bodies()});
      return;
    }
    job_failure lost;
    lost.cause = {refusal_reason::answer_lost, run_outcome::unknown, ""};
    on_answer(lost);
  });
}

}  // namespace almond
