#include <algorithm>
#include <utility>

#include "libalmond/controllers/entry/submission_controller.h"

namespace almond {

void submission_controller::Follow(const uuid& id, active_submission& followed,
                                   const ledger_record& record) {
  followed.service = record.service;
  followed.task_count = record.task_count;
  followed.asked = false;
  switch (record.state) {
    case ledger_state::running:
      followed.state = phase::elsewhere;
      followed.next_poll = clock_.SteadyNow() + followed.poll;
      followed.poll = std::min(followed.poll * 3 / 2, kLongestPoll);
      return;
    case ledger_state::failed: {
      job_failure failed;
      failed.cause = record.failure;
      End(id, failed);
      return;
    }
    case ledger_state::complete:
      followed.state = phase::collecting;
      followed.settled_by = clock_.SteadyNow() + kCollectLimit;
      Collect(id, followed);
      return;
  }
}

void submission_controller::Poll(const uuid& id, active_submission& polled) {
  polled.asked = true;
  ledger_.read(id, [this, id, attempt = polled.attempt](
                       const std::optional<ledger_read_reply_message>& reply) {
    active_submission* followed = Get(id, attempt);
    if (followed == nullptr || followed->state != phase::elsewhere) return;
    if (reply && reply->record) {
      Follow(id, *followed, *reply->record);
      return;
    }
    followed->asked = false;
    followed->next_poll = clock_.SteadyNow() + followed->poll;
  });
}

void submission_controller::Collect(const uuid& id,
                                    active_submission& collected) {
  if (!collected.collector) {
    collected.collector = std::make_shared<answer_collector>(
        dispatch_, collected.service, id, collected.task_count);
  }
  collected.asked = true;
  const bool fence = collected.state == phase::ending;
  collected.collector->Ask(fence, collected.epoch,
                           [this, id, attempt = collected.attempt] {
                             active_submission* asked = Get(id, attempt);
                             if (asked == nullptr) return;
                             asked->asked = false;
                             asked->next_poll = clock_.SteadyNow() + kFirstPoll;
                             if (asked->state == phase::ending) {
                               OnEndingCollected(id, *asked);
                             } else {
                               OnCollected(id, *asked);
                             }
                           });
}

void submission_controller::OnCollected(const uuid& id,
                                        active_submission& collected) {
  if (collected.collector->Complete()) {
    End(id, job_success{collected.collector->Bodies()});
  } else if (collected.settled_by <= clock_.SteadyNow()) {
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
    if (known.state == phase::ending && known.epoch >= record.epoch) return;
    // An own job that the ledger gave to itself under a new epoch goes on.
    if (known.state == phase::running) return;
  }
  active_submission& ending = active_[id];
  const steady_time now = clock_.SteadyNow();
  ending.attempt = ++last_attempt_;
  ending.state = phase::ending;
  ending.digest = record.digest;
  ending.tasks.clear();
  ending.service = record.service;
  ending.task_count = record.task_count;
  ending.epoch = record.epoch;
  ending.accepted = record.accepted;
  ending.deadline = now + std::chrono::duration_cast<duration>(
                              record.deadline - clock_.WallNow());
  ending.settled_by = now + kCollectLimit;
  ending.collector.reset();
  Collect(id, ending);
}

void submission_controller::OnEndingCollected(const uuid& id,
                                              active_submission& ending) {
  const steady_time now = clock_.SteadyNow();
  const answer_collector& found = *ending.collector;
  job_failure lost;
  lost.cause = {refusal_reason::owner_lost, run_outcome::unknown, ""};
  job_result answer = lost;
  if (found.Complete()) {
    answer = job_success{found.Bodies()};
  } else {
    // Tasks that are absent may have run at agents that restarted or are not
    // connected, so the outcome stays unknown.
    const bool may_end =
        !found.Running() && (found.Failed() || ending.settled_by <= now);
    const bool too_late =
        ending.deadline + dispatch_controller::kCancelGrace <= now &&
        ending.settled_by <= now;
    if (!may_end && !too_late) return;
  }
  const owner_epoch epoch = ending.epoch;
  End(id, answer);
  Finish(id, epoch, answer);
}

void submission_controller::FindOnRecord(const ledger_record& record,
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
  collector->Ask(false, record.epoch, [collector, on_answer] {
    if (collector->Complete()) {
      on_answer(job_success{collector->Bodies()});
      return;
    }
    job_failure lost;
    lost.cause = {refusal_reason::answer_lost, run_outcome::unknown, ""};
    on_answer(lost);
  });
}

}  // namespace almond
