#include "run_files.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace almond {

std::vector<logged_start> ReadStartLogs(const std::vector<std::string>& files) {
  std::vector<logged_start> starts;
  for (const std::string& file : files) {
    std::ifstream input(file);
    std::string line;
    while (std::getline(input, line)) {
      const auto start = nlohmann::json::parse(line, nullptr, false);
      if (!start.is_object()) continue;
      starts.push_back({start.value("ms", std::int64_t{0}),
                        start.value("submission", ""), start.value("task", ""),
                        start.value("body", "")});
    }
  }
  return starts;
}

std::vector<fault_event> ReadEvents(const std::string& file) {
  std::vector<fault_event> events;
  std::ifstream input(file);
  std::string line;
  while (std::getline(input, line)) {
    std::istringstream fields(line);
    fault_event event;
    if (!(fields >> event.epoch_ms >> event.label)) continue;
    fields >> event.version;
    events.push_back(event);
  }
  return events;
}

}  // namespace almond
