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
    OnLookedUp(id, asked.attempt, std::nullopt);
    return;
  }
  ledger_.read(id, [this, id, attempt = asked.attempt](
                       const std::optional<ledger_read_reply_message>& reply) {
    OnLookedUp(id, attempt, reply);
  });
}

void submission_controller::OnLookedUp(
    const uuid& id, std::uint64_t attempt,
    const std::optional<ledger_read_reply_message>& reply) {
  active_submission* asked = Get(id, attempt);
  if (asked == nullptr || asked->state != phase::looking_up) return;
  refusal cause = asked->cause;
  const bool recent = id.Timestamp() + kProvenAbsence > clock_.WallNow();
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
  OnKnown(id, *asked, record);
}

bool submission_controller::IsOwn(const ledger_record& record) const {
  return record.state == ledger_state::running && record.owner == self_ &&
         record.owner_incarnation == incarnation_;
}

void submission_controller::OnKnown(const uuid& id, active_submission& known,
                                    const ledger_record& record) {
  const auto claim = given_up_.find(id);
  if (IsOwn(record) && claim != given_up_.end() && claim->second) {
    // The caller of the earlier claim has been refused, so this record ends
    // without a start.
    job_failure refused;
    refused.cause = {refusal_reason::ledger_unavailable, run_outcome::not_run,
                     ""};
    Finish(id, record.epoch, refused);
    End(id, refused);
    return;
  }
  // An own record here has ended, and the ledger has not heard of it yet.
  Follow(id, known, record);
}

}  // namespace almond
