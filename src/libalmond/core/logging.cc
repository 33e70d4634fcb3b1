#include "libalmond/core/logging.h"

INITIALIZE_EASYLOGGINGPP

namespace almond {

void ConfigureLogging(const std::string& program) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(
      el::ConfigurationType::Format,
      "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " + program + " %msg");
  el::Loggers::reconfigureLogger("default", configuration);
}

}  // namespace almond
