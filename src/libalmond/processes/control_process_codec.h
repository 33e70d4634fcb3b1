#ifndef ALMOND_PROCESSES_CONTROL_PROCESS_CODEC_H_
#define ALMOND_PROCESSES_CONTROL_PROCESS_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libalmond/controllers/control/control_service.h"
#include "libalmond/core/socket_address.h"
#include "libalmond/net/http_message.h"

namespace almond {

/// A configuration change as an operator posted it.
struct change_request {
  uuid change_id;
  config_version expected;
  config_document document;
};

/// One replica in the response of GET /v1/status.
struct replica_summary {
  std::string id;
  std::string role;
  bool admitted = false;
  /// Known only for the replica that responds.
  std::optional<std::uint64_t> term;
  std::optional<std::uint64_t> commit_index;
  /// IP:PORT for the other replicas; empty while the place is vacant.
  std::string peer = {};
  std::string control = {};  ///< IP:PORT for entries and agents
  std::string http = {};     ///< IP:PORT for operators; empty if not set
  /// Time since the leader's last contact with it; known only on the leader.
  std::optional<milliseconds> silent_for = {};
  bool founder = true;  ///< see control_address::founder
  bool added = false;   ///< see control_address::added
  /// Incarnation that is admitted.
  std::optional<replica_incarnation> incarnation = {};
};

/// @returns the JSON body of POST /v1/replicas
std::string EncodeReplicaAddressChange(const replica_address_change& move);
/// @returns the address change, or nothing if the body is invalid
std::optional<replica_address_change> DecodeReplicaAddressChange(
    const std::string& body);

/// @returns the JSON body of POST /v1/replicas/claim
std::string EncodeReplicaClaim(const replica_claim& claim);
/// @returns the claim, or nothing if the body is invalid
std::optional<replica_claim> DecodeReplicaClaim(const std::string& body);

/// Maximum size of a change's body in bytes. The last 32 documents are kept in
/// memory and in each snapshot.
inline constexpr std::size_t kMaxChangeBytes = std::size_t{1} << 20U;

/// @returns a JSON response that contains only a reason
http_response ReasonResponse(int status, const std::string& reason);

/// @param leader HTTP address of the leader, empty if unknown
/// @returns the response of a process that is not the leader
http_response NotLeaderResponse(const std::string& leader);

/// Parses the body of POST /v1/config.
/// @returns the change, or the error response
std::variant<change_request, http_response> ParseChange(
    const std::string& body);

/// Parses the query of GET /v1/config.
/// @returns the version, 0 for the newest, or the error response
std::variant<config_version, http_response> ParseVersionQuery(
    const std::string& query);

/// @param leader HTTP address of the leader, empty if unknown
http_response ChangeResponse(const change_answer& answer,
                             const std::string& leader);

/// @param version a version, or 0 for the newest
/// @returns the configuration, or 404 if the store does not have it
http_response ConfigResponse(const config_store& store, config_version version);

http_response HistoryResponse(const config_store& store);

/// @returns `revision` and `data_centres`
nlohmann::json EvacuationsJson(const evacuation_list& list);

/// @param newest newest accepted version
/// @param leader the leader's replica id
/// @param evacuations accepted evacuations; omitted if none was ever accepted
http_response StatusResponse(config_version newest, const std::string& leader,
                             const std::vector<process_status>& processes,
                             const std::vector<replica_summary>& replicas,
                             const evacuation_list& evacuations = {});

/// @param waiting number of processes that wait for a place
/// @returns the response to GET /v1/replicas
http_response ReplicasResponse(config_version newest, const std::string& leader,
                               const std::vector<replica_summary>& replicas,
                               std::size_t waiting);

/// @returns the query of GET /v1/replicas from a process that waits for a place
/// @param peer its address for the other replicas
std::string EncodeWaitingQuery(const socket_address& peer);
/// @returns the address of the process that waits for a place, or nothing if
///   the query names none
std::optional<socket_address> ParseWaitingQuery(const std::string& query);

}  // namespace almond

#endif  // ALMOND_PROCESSES_CONTROL_PROCESS_CODEC_H_
