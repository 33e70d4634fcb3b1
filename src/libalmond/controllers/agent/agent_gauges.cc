#include "libalmond/controllers/agent/agent_gauges.h"

namespace almond {

void SetAgentGauges(metrics_registry& metrics, const slot_controller& slots,
                    const suspension_controller& suspension,
                    const start_table& starts) {
  const auto set = [&metrics](const char* name, std::size_t value) {
    metrics.Gauge(name).Set(static_cast<double>(value));
  };
  set("almond_agent_slots", slots.Capacity());
  set("almond_agent_slots_busy", slots.Busy());
  set("almond_agent_slots_granted", slots.GrantedSlots());
  set("almond_agent_suspended_tasks", suspension.Suspended());
  set("almond_agent_aged_on_slot", suspension.AgedOnSlot());
  set("almond_agent_start_table_names", starts.size());
  set("almond_agent_start_table_fences", starts.Fences());
  set("almond_agent_answer_bytes", starts.AnswerBytes());
}

}  // namespace almond
