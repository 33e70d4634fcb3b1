#include "libalmond/controllers/entry/submission_controller.h"

#include <algorithm>
#include <utility>

#include "libalmond/core/digest.h"

namespace almond {
namespace {

/// An earlier request may have been accepted under the id, so the submission's
/// outcome is unknown although this request started nothing.
const refusal kLedgerUnavailable{refusal_reason::ledger_unavailable,
                                 run_outcome::unknown, ""};

job_result Failure(refusal_reason reason, run_outcome outcome) {
  job_failure failed;
  failed.cause = {reason, outcome, ""};
  return failed;
}

}  // namespace

std::string SubmissionDigest(const std::vector<task>& tasks) {
  std::string bodies;
  for (const task& work : tasks) {
    bodies += Sha256({work.body, std::to_string(work.size.run_time.count()),
                      std::to_string(work.size.cpu_milli),
                      std::to_string(work.size.memory_mib)});
  }
  const task& first = tasks.front();
  return Sha256(
      {first.service.Value(), first.kind.Value(), first.team.Value(), bodies});
}

submission_controller::submission_controller(const clock_interface& clock,
                                             dispatch_controller& dispatch,
                                             job_controller& jobs,
                                             entry_id self,
                                             incarnation_id incarnation)
    : clock_(clock),
      dispatch_(dispatch),
      jobs_(jobs),
      self_(std::move(self)),
      incarnation_(incarnation),
      ended_(clock) {}

submission_controller::active_submission* submission_controller::FindActive(
    const uuid& id, std::uint64_t generation) {
  const auto found = active_.find(id);
  if (found == active_.end() || found->second.generation != generation) {
    return nullptr;
  }
  return &found->second;
}

bool submission_controller::Join(const uuid& id, named_submission& submitted,
                                 answer_hook& on_answer) {
  const auto active = active_.find(id);
  const job_result_cache::entry* ended = ended_.Find(id);
  const std::string* digest = nullptr;
  if (ended != nullptr) digest = &ended->digest;
  if (active != active_.end()) digest = &active->second.digest;
  // A submission that was taken over has no digest here; the ledger compares
  // it. A conflict has an unknown outcome, as the first content may have run.
  if (digest != nullptr && !digest->empty() && !submitted.digest.empty() &&
      *digest != submitted.digest) {
    on_answer(
        Failure(refusal_reason::submission_conflict, run_outcome::unknown));
    return true;
  }
  if (active != active_.end()) {
    active->second.waiters.push_back(
        {submitted.deadline, std::move(on_answer)});
    return true;
  }
  if (ended == nullptr) return false;
  on_answer(ended->answer);
  return true;
}

submission_controller::active_submission& submission_controller::Activate(
    const uuid& id, named_submission submitted, answer_hook on_answer) {
  active_submission& added = active_[id];
  added.generation = ++last_generation_;
  added.digest = std::move(submitted.digest);
  added.tasks = std::move(submitted.tasks);
  added.service = added.tasks.front().service;
  added.task_count = static_cast<std::uint32_t>(added.tasks.size());
  added.deadline = submitted.deadline;
  added.waiters.push_back({submitted.deadline, std::move(on_answer)});
  return added;
}

void submission_controller::Submit(named_submission submitted,
                                   answer_hook on_answer) {
  const uuid id = submitted.tasks.front().name.submission;
  if (Join(id, submitted, on_answer)) return;
  Claim(id, Activate(id, std::move(submitted), std::move(on_answer)));
}

cancel_outcome submission_controller::Cancel(const uuid& submission) {
  if (jobs_.Cancel(submission)) return cancel_outcome::cancelling;
  const auto found = active_.find(submission);
  if (found == active_.end() || found->second.state != phase::claiming) {
    return cancel_outcome::not_owned;
  }
  found->second.cancelled = true;
  return cancel_outcome::cancelling;
}

void submission_controller::Claim(const uuid& id, active_submission& claimed) {
  if (!ledger_.claim) {
    Refuse(id, kLedgerUnavailable);
    return;
  }
  const steady_time now = clock_.SteadyNow();
  claimed.first_claim = abandoned_claims_.emplace(id, false).second;
  if (claimed.first_claim) claim_order_.emplace_back(now, id);
  claimed.next_poll = std::min(now + kClaimTimeout, claimed.deadline);
  ledger_claim_message message;
  message.submission = id;
  message.digest = claimed.digest;
  message.service = claimed.service;
  message.task_count = claimed.task_count;
  message.owner = self_;
  message.owner_incarnation = incarnation_;
  message.deadline =
      clock_.WallNow() +
      std::chrono::duration_cast<wall_time::duration>(claimed.deadline - now);
  ledger_.claim(message,
                [this, id, generation = claimed.generation](
                    const std::optional<ledger_claim_reply_message>& reply) {
                  OnClaim(id, generation, reply);
                });
}

void submission_controller::OnClaim(
    const uuid& id, std::uint64_t generation,
    const std::optional<ledger_claim_reply_message>& reply) {
  active_submission* claimed = FindActive(id, generation);
  if (claimed == nullptr || claimed->state != phase::claiming) {
    OnLateClaim(id, reply);
    return;
  }
  if (!reply) {
    Refuse(id, kLedgerUnavailable);
    return;
  }
  switch (reply->outcome) {
    case claim_outcome::accepted:
      Run(id, *claimed, reply->record.epoch);
      return;
    case claim_outcome::exists:
      OnClaimExists(id, *claimed, reply->record);
      return;
    case claim_outcome::conflict:
      Refuse(id,
             {refusal_reason::submission_conflict, run_outcome::unknown, ""});
      return;
    case claim_outcome::expired:
      Refuse(id,
             {refusal_reason::submission_expired, run_outcome::unknown, ""});
      return;
    case claim_outcome::too_new:
      Refuse(id, {refusal_reason::bad_submission_id, run_outcome::not_run, ""});
      return;
  }
}

void submission_controller::OnLateClaim(
    const uuid& id, const std::optional<ledger_claim_reply_message>& reply) {
  // The caller has already been refused, so the accepted record must end
  // without a start.
  if (!reply || reply->outcome != claim_outcome::accepted) return;
  if (active_.count(id) > 0 || ended_.Find(id) != nullptr) return;
  Finish(id, reply->record.epoch,
         Failure(refusal_reason::ledger_unavailable, run_outcome::not_run));
}

void submission_controller::OnClaimExists(const uuid& id,
                                          active_submission& claimed,
                                          const ledger_record& record) {
  if (IsOwnedHere(record) && claimed.first_claim) {
    // The ledger had accepted this claim, but its first reply was lost.
    Run(id, claimed, record.epoch);
  } else {
    OnExistingRecord(id, claimed, record);
  }
}

void submission_controller::Run(const uuid& id, active_submission& claimed,
                                owner_epoch epoch) {
  const bool late = claimed.deadline <= clock_.SteadyNow();
  if (late || claimed.cancelled) {
    const job_result ended =
        Failure(claimed.cancelled ? refusal_reason::cancelled
                                  : refusal_reason::deadline_in_queue,
                run_outcome::not_run);
    Finish(id, epoch, ended);
    End(id, ended);
    return;
  }
  claimed.state = phase::running;
  abandoned_claims_[id] = false;
  claimed.epoch = epoch;
  for (task& work : claimed.tasks) work.epoch = epoch;
  jobs_.Submit(std::exchange(claimed.tasks, {}),
               [this, id, epoch](const job_result& answer) {
                 End(id, answer);
                 Finish(id, epoch, answer);
               });
}

void submission_controller::Find(const uuid& id, find_hook on_answer) {
  if (const auto* ended = ended_.Find(id)) {
    on_answer(ended->answer);
    return;
  }
  const job_result absent =
      Failure(refusal_reason::unknown_job, run_outcome::unknown);
  const auto active = active_.find(id);
  if (active != active_.end() && active->second.state != phase::looking_up) {
    on_answer(std::nullopt);
  } else if (!ledger_.read) {
    on_answer(absent);
  } else {
    ledger_.read(
        id, [this, on_answer = std::move(on_answer),
             absent](const std::optional<ledger_read_reply_message>& reply) {
          if (!reply) {
            // The ledger has not answered, so the submission may have run at
            // another entry.
            on_answer(Failure(refusal_reason::ledger_unavailable,
                              run_outcome::unknown));
          } else if (!reply->record) {
            on_answer(absent);
          } else {
            AnswerFromRecord(*reply->record, on_answer);
          }
        });
  }
}

void submission_controller::Refuse(const uuid& id, const refusal& cause) {
  const auto found = active_.find(id);
  const std::vector<waiter> waiters = std::move(found->second.waiters);
  const auto claim = abandoned_claims_.find(id);
  if (claim != abandoned_claims_.end() &&
      found->second.state == phase::claiming) {
    claim->second = true;
  }
  job_failure answer;
  answer.cause = cause;
  active_.erase(found);
  for (const waiter& caller : waiters) caller.on_answer(answer);
}

void submission_controller::End(const uuid& id, const job_result& answer) {
  const auto found = active_.find(id);
  if (found == active_.end()) return;
  const std::vector<waiter> waiters = std::move(found->second.waiters);
  const std::string digest = found->second.digest;
  active_.erase(found);
  ended_.Add(id, digest, answer);
  for (const waiter& caller : waiters) caller.on_answer(answer);
}

void submission_controller::Finish(const uuid& id, owner_epoch epoch,
                                   const job_result& answer) {
  ledger_finish_message message;
  message.submission = id;
  message.epoch = epoch;
  message.state = ledger_state::complete;
  if (const auto* failed = std::get_if<job_failure>(&answer)) {
    message.state = ledger_state::failed;
    message.failure = failed->cause;
  }
  if (ledger_.finish) ledger_.finish(message);
}

void submission_controller::Tick() {
  std::vector<uuid> ids;
  ids.reserve(active_.size());
  for (const auto& [id, waiting] : active_) {
    if (waiting.state != phase::running || waiting.waiters.size() > 1) {
      ids.push_back(id);
    }
  }
  for (const uuid& id : ids) TickSubmission(id);
  ended_.Expire();
  ExpireClaims();
}

void submission_controller::TickSubmission(const uuid& id) {
  const auto found = active_.find(id);
  if (found == active_.end()) return;
  active_submission& waiting = found->second;
  const steady_time now = clock_.SteadyNow();
  if (waiting.state == phase::claiming || waiting.state == phase::looking_up) {
    if (waiting.next_poll > now) return;
    refusal cause =
        waiting.state == phase::claiming ? kLedgerUnavailable : waiting.cause;
    cause.outcome = run_outcome::unknown;
    Refuse(id, cause);
    return;
  }
  const std::uint64_t generation = waiting.generation;
  EndWaiters(waiting, now);
  active_submission* polled = FindActive(id, generation);
  if (polled == nullptr || polled->state == phase::running) return;
  if (polled->waiters.empty() && polled->state != phase::fencing) {
    active_.erase(id);
    return;
  }
  if (polled->request_pending || polled->next_poll > now) return;
  if (polled->state == phase::remote) {
    Poll(id, *polled);
  } else {
    Collect(id, *polled);
  }
}

void submission_controller::EndWaiters(active_submission& waited,
                                       steady_time now) {
  // The owner of a running job answers slightly after the callers' deadline, to
  // let the agents report the outcome.
  const steady_time limit = now - dispatch_controller::kCancelGracePeriod -
                            dispatch_controller::kCancelGracePeriod;
  std::vector<waiter> late;
  std::erase_if(waited.waiters, [&](waiter& caller) {
    if (caller.deadline > limit) return false;
    late.push_back(std::move(caller));
    return true;
  });
  for (const waiter& caller : late) {
    caller.on_answer(
        Failure(refusal_reason::deadline_running, run_outcome::unknown));
  }
}

void submission_controller::ExpireClaims() {
  const steady_time now = clock_.SteadyNow();
  while (!claim_order_.empty() &&
         claim_order_.front().first + kClaimRetentionPeriod <= now) {
    abandoned_claims_.erase(claim_order_.front().second);
    claim_order_.pop_front();
  }
}

}  // namespace almond
