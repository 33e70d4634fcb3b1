#include "libalmond/core/decision_log.h"

#include <utility>

namespace almond {

decision_log::decision_log(const clock_interface& clock, std::string process,
                           sink write)
    : clock_(clock), process_(std::move(process)), write_(std::move(write)) {}

void decision_log::Write(const char* event, const nlohmann::json& fields) {
  nlohmann::json line = fields;
  line["event"] = event;
  line["process"] = process_;
  line["wall_ms"] = std::chrono::duration_cast<milliseconds>(
                        clock_.WallNow().time_since_epoch())
                        .count();
  // Names come from callers, so they need not be valid UTF-8.
  write_(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace almond
