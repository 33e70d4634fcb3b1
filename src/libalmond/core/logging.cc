#include "libalmond/core/logging.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

#include "libalmond/core/standard_streams.h"

INITIALIZE_EASYLOGGINGPP

namespace almond {

namespace {

constexpr const char* kTimeFormat = "%Y-%M-%dT%H:%m:%s.%g";

/// @returns a log line from a level and a message
using line_format =
    std::function<std::string(const std::string&, const std::string&)>;

line_format& Format() {
  static line_format format = [](const std::string& level,
                                 const std::string& message) {
    return level + " " + message;
  };
  return format;
}

std::string TimeText() {
  const el::base::SubsecondPrecision milliseconds(3);
  return el::base::utils::DateTime::getDateTime(kTimeFormat, &milliseconds);
}

class process_log_callback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage& message = *data->logMessage();
    ProcessLog().Write(Format()(
        el::LevelHelper::convertToString(message.level()), message.message()));
  }
};

void Configure(line_format format) {
  Format() = std::move(format);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureLogger("default", configuration);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<process_log_callback>("process_log");
}

}  // namespace

void ConfigureLogging(const std::string& program) {
  Configure([program](const std::string& level, const std::string& message) {
    return TimeText() + " " + level + " " + program + " " + message;
  });
}

void ConfigureJsonLogging(const std::string& process) {
  Configure([process](const std::string& level, const std::string& message) {
    const nlohmann::ordered_json line = {{"event", "state"},
                                         {"process", process},
                                         {"time", TimeText()},
                                         {"level", level},
                                         {"message", message}};
    // Messages can hold texts of callers, which need not be valid UTF-8.
    return line.dump(-1, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace);
  });
}

log_output& ProcessLog() {
  static const system_clock clock;
  static log_output output(
      clock, {WriteToStandardOutput, [](std::uint64_t count) {
                return Format()("WARNING", std::to_string(count) +
                                               " log lines were dropped here");
              }});
  return output;
}

}  // namespace almond
