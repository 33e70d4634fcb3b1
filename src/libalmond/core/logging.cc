#include "libalmond/core/logging.h"

INITIALIZE_EASYLOGGINGPP

namespace almond {

namespace {

void Configure(const std::string& format) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format, format);
  el::Loggers::reconfigureLogger("default", configuration);
}

}  // namespace

void ConfigureLogging(const std::string& program) {
  Configure("%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " + program + " %msg");
}

void ConfigureJsonLogging(const std::string& process) {
  Configure("{\"event\":\"state\",\"process\":\"" + process +
            "\",\"time\":\"%datetime{%Y-%M-%dT%H:%m:%s.%g}\","
            "\"level\":\"%level\",\"message\":\"%msg\"}");
}

}  // namespace almond
