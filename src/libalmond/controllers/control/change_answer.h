#ifndef ALMOND_CONTROLLERS_CONTROL_CHANGE_ANSWER_H_
#define ALMOND_CONTROLLERS_CONTROL_CHANGE_ANSWER_H_

#include <variant>
#include <vector>

#include "libalmond/config/config_loader.h"
#include "libalmond/controllers/control/control_command.h"

namespace almond {

/// The change was not proposed because its document is invalid.
struct change_invalid {
  std::vector<config_error> errors;
};
/// The change was not proposed because no data centre has this name.
struct change_unknown_data_centre {};
/// The change was not proposed because this replica is not the leader.
struct change_not_leader {};
/// The change may have been accepted; a resend returns the outcome.
struct change_outcome_unknown {};

/// Answer to an operator's configuration change. A resend has the same change
/// id.
using change_answer = std::variant<change_result, change_invalid,
                                   change_not_leader, change_outcome_unknown>;

/// Answer to an operator's evacuation of a data centre or its withdrawal.
using evacuation_answer =
    std::variant<evacuation_result, change_unknown_data_centre,
                 change_not_leader, change_outcome_unknown>;

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_CHANGE_ANSWER_H_
