#include <algorithm>
#include <utility>

#include "libalmond/controllers/entry/submission_controller.h"

namespace almond {

void submission_controller::RefuseUnlessRecorded(named_submission submitted,
                                                 refusal cause,
                                                 answer_hook on_answer) {
  const uuid id = submitted.tasks.front().name.submission;
  if (Join(id, submitted, on_answer)) return;
  active_submission& asked =
      Activate(id, std::move(submitted), std::move(on_answer));
  asked.state = phase::looking_up;
  asked.tasks.clear();
  asked.cause = std::move(cause);
  asked.next_poll =
      std::min(clock_.SteadyNow() + kClaimTimeout, asked.deadline);
  if (!ledger_.read) {
    OnLookupReply(id, asked.generation, std::nullopt);
    return;
  }
  ledger_.read(id, [this, id, generation = asked.generation](
                       const std::optional<ledger_read_reply_message>& reply) {
    OnLookupReply(id, generation, reply);
  });
}

void submission_controller::OnLookupReply(
    const uuid& id, std::uint64_t generation,
    const std::optional<ledger_read_reply_message>& reply) {
  active_submission* asked = FindActive(id, generation);
  if (asked == nullptr || asked->state != phase::looking_up) return;
  refusal cause = asked->cause;
  const bool recent = id.Timestamp() > clock_.WallNow() - kAbsenceProofAge;
  if (reply && !reply->record && recent) {
    Refuse(id, cause);
    return;
  }
  if (!reply || !reply->record || asked->digest.empty()) {
    cause.outcome = run_outcome::unknown;
    Refuse(id, cause);
    return;
  }
  const ledger_record& record = *reply->record;
  if (!record.digest.empty() && record.digest != asked->digest) {
    Refuse(id, {refusal_reason::submission_conflict, run_outcome::unknown, ""});
    return;
  }
  OnExistingRecord(id, *asked, record);
}

bool submission_controller::IsOwnedHere(const ledger_record& record) const {
  return record.state == ledger_state::running && record.owner == self_ &&
         record.owner_incarnation == incarnation_;
}

void submission_controller::OnExistingRecord(const uuid& id,
                                             active_submission& known,
                                             const ledger_record& record) {
  const auto claim = abandoned_claims_.find(id);
  if (IsOwnedHere(record) && claim != abandoned_claims_.end() &&
      claim->second) {
    // The caller of the earlier claim has been refused, so this record must end
    // without a start.
    job_failure refused;
    refused.cause = {refusal_reason::ledger_unavailable, run_outcome::not_run,
                     ""};
    Finish(id, record.epoch, refused);
    End(id, refused);
    return;
  }
  // A record of this entry that is no longer active has ended here; the ledger
  // has not stored that yet.
  Follow(id, known, record);
}

}  // namespace almond
