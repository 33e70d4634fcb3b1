#include "libalmond/controllers/control/evacuation_controller.h"

#include <algorithm>
#include <utility>

#include "libalmond/controllers/control/command_codec.h"

namespace almond {

evacuation_controller::evacuation_controller(const clock_interface& clock,
                                             const evacuation_store& store,
                                             const process_directory& directory,
                                             hooks callbacks)
    : clock_(clock),
      store_(store),
      directory_(directory),
      hooks_(std::move(callbacks)) {}

void evacuation_controller::Change(const evacuation_change& change,
                                   answer_hook on_answer) {
  if (!hooks_.is_leader()) {
    on_answer(change_not_leader{});
    return;
  }
  const answer_hook answer =
      pending_.Add(clock_.SteadyNow() + kChangeTimeout, std::move(on_answer));
  if (!InForce(change) && Find(change.data_centre) == knowledge::known) {
    Propose(change, answer);
    return;
  }
  hooks_.confirm_read([this, change, answer](bool confirmed) {
    if (confirmed) {
      OnRead(change, answer);
    } else {
      answer(change_not_leader{});
    }
  });
}

void evacuation_controller::Tick() {
  pending_.Expire(clock_.SteadyNow(), change_outcome_unknown{});
}

bool evacuation_controller::InForce(const evacuation_change& change) const {
  return store_.Evacuations().Contains(change.data_centre) == change.evacuated;
}

evacuation_controller::knowledge evacuation_controller::Find(
    const data_centre_id& data_centre) const {
  if (store_.Evacuations().Contains(data_centre)) return knowledge::known;
  const std::vector<data_centre_id> named = hooks_.data_centres();
  if (std::find(named.begin(), named.end(), data_centre) != named.end() ||
      directory_.HasDataCentre(data_centre)) {
    return knowledge::known;
  }
  return named.empty() && directory_.InGracePeriod() ? knowledge::undetermined
                                                     : knowledge::unknown;
}

void evacuation_controller::OnRead(const evacuation_change& change,
                                   const answer_hook& answer) {
  switch (Find(change.data_centre)) {
    case knowledge::unknown:
      answer(change_unknown_data_centre{});
      return;
    case knowledge::undetermined:
      answer(change_outcome_unknown{});
      return;
    case knowledge::known:
      break;
  }
  if (InForce(change)) {
    answer(evacuation_result{store_.Evacuations().revision});
  } else {
    Propose(change, answer);
  }
}

void evacuation_controller::Propose(const evacuation_change& change,
                                    const answer_hook& answer) {
  hooks_.propose(change, [answer](const proposal_result& end) {
    if (end.outcome == proposal_outcome::not_leader) {
      answer(change_not_leader{});
      return;
    }
    const auto result = DecodeResult(end.result);
    if (end.outcome == proposal_outcome::committed && result &&
        std::holds_alternative<evacuation_result>(*result)) {
      answer(std::get<evacuation_result>(*result));
    } else {
      answer(change_outcome_unknown{});
    }
  });
}

}  // namespace almond
