#include "libalmond/processes/evacuation_report.h"

#include "libalmond/core/logging.h"

namespace almond {

void SetEvacuationGauge(const evacuation_list& list,
                        metrics_registry& metrics) {
  metrics.Gauge("almond_evacuated_data_centres")
      .Set(static_cast<double>(list.data_centres.size()));
}

std::string EvacuatedNames(const evacuation_list& list) {
  std::string names;
  for (const data_centre_id& name : list.data_centres) {
    names += (names.empty() ? "" : ", ") + name.Value();
  }
  return names.empty() ? "none" : names;
}

void ReportEvacuations(const evacuation_list& list, metrics_registry& metrics) {
  LOG(INFO) << "evacuations of revision " << list.revision
            << " are in force: " << EvacuatedNames(list);
  SetEvacuationGauge(list, metrics);
}

void ReportEvacuations(const evacuation_list& list, decision_log& log,
                       metrics_registry& metrics) {
  nlohmann::json names = nlohmann::json::array();
  for (const data_centre_id& name : list.data_centres) {
    names.push_back(name.Value());
  }
  log.Write("evacuation_in_force",
            {{"revision", list.revision.Value()}, {"data_centres", names}});
  SetEvacuationGauge(list, metrics);
}

}  // namespace almond
