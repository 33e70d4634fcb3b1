#ifndef ALMOND_PROCESSES_AGENT_HTTP_H_
#define ALMOND_PROCESSES_AGENT_HTTP_H_

#include <functional>
#include <string>

#include "libalmond/controllers/agent/agent_controller.h"
#include "libalmond/core/metrics.h"
#include "libalmond/net/http_message.h"

namespace almond {

/// An agent's HTTP interface for its endpoint and for operators.
class agent_http {
 public:
  /// @param config_document returns the JSON for GET /v1/config; empty while
  ///   there is no configuration
  agent_http(agent_controller& controller, const metrics_registry& metrics,
             std::function<std::string()> config_document)
      : controller_(controller),
        metrics_(metrics),
        config_document_(std::move(config_document)) {}

  http_response Handle(const http_request& request);

 private:
  http_response HandleEndpoint(const http_request& request);
  http_response PutEndpoint(const http_request& request);
  http_response DeleteEndpoint();
  http_response Health() const;
  http_response Config() const;

  agent_controller& controller_;
  const metrics_registry& metrics_;
  std::function<std::string()> config_document_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_AGENT_HTTP_H_
