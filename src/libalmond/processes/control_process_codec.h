#ifndef ALMOND_PROCESSES_CONTROL_PROCESS_CODEC_H_
#define ALMOND_PROCESSES_CONTROL_PROCESS_CODEC_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libalmond/controllers/control/control_service.h"
#include "libalmond/net/http_message.h"

namespace almond {

/// An operator's change as it was posted.
struct change_request {
  uuid change_id;
  config_version expected;
  config_document document;
};

/// One replica as operators see it.
struct replica_summary {
  std::string id;
  std::string role;
  bool admitted = false;
  /// Known only for the replica that answers.
  std::optional<std::uint64_t> term;
  std::optional<std::uint64_t> commit_index;
  std::string peer = {};     ///< IP and port for the other replicas
  std::string control = {};  ///< IP and port for entries and agents
  std::string http = {};     ///< IP and port for operators; empty if not stated
  /// Time since the leader last heard of it; known only there.
  std::optional<milliseconds> silent_for = {};
};

/// @returns the body of POST /v1/replicas
std::string EncodeMove(const replica_address_change& move);
/// @returns the move, or nothing if the body is not one
std::optional<replica_address_change> DecodeMove(const std::string& body);

/// Largest body of a change in bytes. The last 32 documents are kept in memory
/// and in each snapshot.
inline constexpr std::size_t kMaxChangeBytes = std::size_t{1} << 20U;

/// @returns a JSON response with only a reason
http_response ReasonResponse(int status, const std::string& reason);

/// @param leader HTTP address of the leader, empty if not known
/// @returns the response of a process that is not the leader
http_response NotLeaderResponse(const std::string& leader);

/// Reads the body of POST /v1/config.
/// @returns the change, or the response that refuses it
std::variant<change_request, http_response> ParseChange(
    const std::string& body);

/// Reads the query of GET /v1/config.
/// @returns the version, 0 for the newest, or the response that refuses it
std::variant<config_version, http_response> ParseVersionQuery(
    const std::string& query);

/// @param leader HTTP address of the leader, empty if not known
http_response ChangeResponse(const change_answer& answer,
                             const std::string& leader);

/// @param version a version, or 0 for the newest
/// @returns the configuration, or 404 if it is not kept
http_response ConfigResponse(const config_store& store, config_version version);

http_response HistoryResponse(const config_store& store);

/// @param newest newest accepted version
/// @param leader id of the leading replica
http_response StatusResponse(config_version newest, const std::string& leader,
                             const std::vector<process_status>& processes,
                             const std::vector<replica_summary>& replicas);

}  // namespace almond

#endif  // ALMOND_PROCESSES_CONTROL_PROCESS_CODEC_H_
