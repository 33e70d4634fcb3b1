#ifndef ALMOND_PROCESSES_EVACUATION_API_H_
#define ALMOND_PROCESSES_EVACUATION_API_H_

#include <functional>
#include <string>

#include "libalmond/controllers/control/control_service.h"
#include "libalmond/net/http_server.h"

namespace almond {

/// The part of the operators' HTTP interface that evacuates data centres:
/// GET /v1/evacuations, PUT and DELETE /v1/evacuations/{data_centre}.
class evacuation_api {
 public:
  /// All references outlive the interface.
  /// @param leader_http returns the leader's HTTP address, empty if unknown
  evacuation_api(control_service& service, const evacuation_store& store,
                 std::function<std::string()> leader_http);

  /// Handles a request; the response may follow asynchronously.
  /// @returns false if the path is not one of this interface
  bool Handle(const http_request& request,
              const http_server::responder& respond);

 private:
  void Get(const http_server::responder& respond);
  void Change(const evacuation_change& change,
              const http_server::responder& respond);

  control_service& service_;
  const evacuation_store& store_;
  std::function<std::string()> leader_http_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_EVACUATION_API_H_
