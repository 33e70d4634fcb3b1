#ifndef ALMOND_PROCESSES_CONTROL_PROCESS_API_H_
#define ALMOND_PROCESSES_CONTROL_PROCESS_API_H_

#include <functional>
#include <string>
#include <vector>

#include "libalmond/controllers/control/control_service.h"
#include "libalmond/core/metrics.h"
#include "libalmond/net/http_server.h"
#include "libalmond/processes/control_process_codec.h"
#include "libalmond/processes/evacuation_api.h"

namespace almond {

/// The operators' HTTP interface of a control process.
class control_process_api {
 public:
  struct hooks {
    std::function<bool()> is_leader;
    /// @returns the leader's replica id, empty if unknown
    std::function<std::string()> leader_id;
    /// @returns the leader's HTTP address, empty if unknown
    std::function<std::string()> leader_http;
    std::function<std::vector<replica_summary>()> replicas;
    /// Called with the address of a process that asks for the replicas because
    /// it waits for a place.
    std::function<void(const socket_address&)> on_waiting;
    /// @returns the number of processes that wait for a place
    std::function<std::size_t()> waiting;
  };

  /// All references outlive the interface.
  /// @param service handles changes and confirmed reads
  /// @param machine the replicated state
  control_process_api(control_service& service,
                      const control_state_machine& machine,
                      const metrics_registry& metrics, hooks callbacks);

  /// Handles one request; the response may follow asynchronously.
  void Handle(const http_request& request,
              const http_server::responder& respond);

 private:
  void HandleGet(const http_request& request,
                 const http_server::responder& respond);
  void PostConfig(const http_request& request,
                  const http_server::responder& respond);
  void PostReplicaAddress(const http_request& request,
                          const http_server::responder& respond);
  void PostReplicaClaim(const http_request& request,
                        const http_server::responder& respond);
  void GetConfig(const http_request& request,
                 const http_server::responder& respond);
  void GetHistory(const http_server::responder& respond);
  http_response Status() const;
  void GetReplicas(const http_request& request,
                   const http_server::responder& respond);
  http_response Health() const;

  control_service& service_;
  const control_state_machine& machine_;
  const metrics_registry& metrics_;
  hooks hooks_;
  evacuation_api evacuations_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_CONTROL_PROCESS_API_H_
