#ifndef ALMOND_PROCESSES_EVACUATION_REPORT_H_
#define ALMOND_PROCESSES_EVACUATION_REPORT_H_

#include <string>

#include "libalmond/core/decision_log.h"
#include "libalmond/core/evacuations.h"
#include "libalmond/core/metrics.h"

namespace almond {

/// Sets the number of evacuated data centres in the metrics.
void SetEvacuationGauge(const evacuation_list& list, metrics_registry& metrics);

/// Logs a list that has come into force, and sets the metrics.
void ReportEvacuations(const evacuation_list& list, metrics_registry& metrics);
/// As above, for a process with a decision log.
void ReportEvacuations(const evacuation_list& list, decision_log& log,
                       metrics_registry& metrics);

/// @returns the names separated by commas; "none" if there are none
std::string EvacuatedNames(const evacuation_list& list);

}  // namespace almond

#endif  // ALMOND_PROCESSES_EVACUATION_REPORT_H_
