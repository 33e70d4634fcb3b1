#ifndef ALMOND_PROCESSES_INPUT_BUDGET_H_
#define ALMOND_PROCESSES_INPUT_BUDGET_H_

#include <memory>

#include "libalmond/core/metrics.h"
#include "libalmond/net/connection_budget.h"

namespace almond {

/// @param clock outlives the budget
/// @param metrics outlives the budget
/// @returns the budget of a process's connections, which counts refusals and
///   logs them, at most once in ten seconds for each reason
std::shared_ptr<connection_budget> MakeInputBudget(const clock_interface& clock,
                                                   metrics_registry& metrics,
                                                   const input_limits& limits);

}  // namespace almond

#endif  // ALMOND_PROCESSES_INPUT_BUDGET_H_
