#ifndef ALMOND_CONTROLLERS_AGENT_AGENT_GAUGES_H_
#define ALMOND_CONTROLLERS_AGENT_AGENT_GAUGES_H_

#include "libalmond/controllers/agent/slot_controller.h"
#include "libalmond/controllers/agent/start_table.h"
#include "libalmond/controllers/agent/suspension_controller.h"
#include "libalmond/core/metrics.h"

namespace almond {

/// Updates the gauges of slots, suspended tasks and the start table.
void SetAgentGauges(metrics_registry& metrics, const slot_controller& slots,
                    const suspension_controller& suspension,
                    const start_table& starts);

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_AGENT_GAUGES_H_
