#ifndef ALMOND_CORE_CONTROL_MESSAGES_H_
#define ALMOND_CORE_CONTROL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/evacuations.h"
#include "libalmond/core/identifiers.h"
#include "libalmond/core/outcome.h"
#include "libalmond/core/uuid.h"

namespace almond {

/// Kind of the process that sends a heartbeat.
enum class process_role : std::uint8_t { entry, agent };

/// State of a submission in the ledger.
enum class ledger_state : std::uint8_t { running, complete, failed };

/// One submission in the ledger.
struct ledger_record {
  uuid submission;
  std::string digest;  ///< digest of the content, see SubmissionDigest
  service_id service;
  std::uint32_t task_count = 0;
  entry_id owner;
  incarnation_id owner_incarnation;
  owner_epoch epoch;
  ledger_state state = ledger_state::running;
  refusal failure;     ///< valid if the state is `failed`
  wall_time accepted;  ///< time of acceptance, by the leader's clock
  wall_time deadline;  ///< end of the caller's timeout, by the owner's clock

  bool operator==(const ledger_record&) const = default;
};

/// Process to control leader, each second.
struct heartbeat_message {
  process_role role = process_role::entry;
  std::string id;  ///< entry or agent id
  incarnation_id incarnation;
  data_centre_id data_centre;
  /// IP and port that peers connect to; empty for an agent.
  std::string peer_address;
  /// IP and port of the HTTP server.
  std::string http_address;
  config_version version;
  bool leaving = false;
  /// Digest of the list of entries that the process has; 0 if it has none.
  std::uint64_t entries_digest = 0;
  /// Of an agent: describes the service and the size of its endpoints. Agents
  /// with the same text can run the same tasks.
  std::string endpoint_kind = {};
};

/// A live entry, as listed to agents and operators.
struct entry_address {
  entry_id entry;
  incarnation_id incarnation;
  data_centre_id data_centre;
  std::string peer_address;

  bool operator==(const entry_address&) const = default;
};

/// Control leader to process.
struct heartbeat_reply_message {
  config_version newest;
  std::vector<entry_address> entries;
  /// Submissions that this entry has taken over and must bring to an end.
  std::vector<ledger_record> takeovers;
  /// Digest of the list of live entries.
  std::uint64_t entries_digest = 0;
  /// The process has the list with this digest, and `entries` is empty.
  bool entries_omitted = false;
  /// Number of live agents with the process's endpoint kind; 0 if unknown.
  std::uint32_t alike_agents = 0;
  evacuation_list evacuations = {};
};

/// Process to control leader: requests the newest accepted configuration.
struct fetch_config_message {};

/// Control leader to process.
struct fetch_config_reply_message {
  config_version version;  ///< 0 if none was accepted yet
  std::string document;
};

/// Entry to control leader: claims a submission; accepted if its id is new.
struct ledger_claim_message {
  uuid submission;
  std::string digest;
  service_id service;
  std::uint32_t task_count = 0;
  entry_id owner;
  incarnation_id owner_incarnation;
  wall_time deadline;
};

/// Outcome of a ledger claim.
enum class claim_outcome : std::uint8_t {
  accepted,  ///< the claiming entry is the owner now
  exists,    ///< accepted before with the same content; see the record
  conflict,  ///< accepted before with other content
  expired,   ///< the id is older than the ledger's window
  too_new    ///< the id's timestamp is too far in the future
};

struct ledger_claim_reply_message {
  claim_outcome outcome = claim_outcome::conflict;
  ledger_record record;  ///< valid for `accepted` and `exists`
};

/// Owner to control leader: reports the end of a submission. Ignored if the
/// epoch differs from the record's.
struct ledger_finish_message {
  uuid submission;
  owner_epoch epoch;
  ledger_state state = ledger_state::failed;
  refusal failure;  ///< valid if the state is `failed`
};

struct ledger_finish_reply_message {
  /// False if there is no record, or if its epoch or outcome differs.
  bool stored = false;
};

/// Entry to control leader: requests the record of a submission.
struct ledger_read_message {
  uuid submission;
};

struct ledger_read_reply_message {
  std::optional<ledger_record> record;
};

/// Reply of a control process that is not, or cannot confirm to be, the leader.
struct not_leader_message {
  std::string leader_address;  ///< IP and port; empty if unknown
};

/// A request to the control leader.
using control_request =
    std::variant<heartbeat_message, fetch_config_message, ledger_claim_message,
                 ledger_finish_message, ledger_read_message>;

/// A reply of the control leader; carries the request's number on the wire.
using control_reply =
    std::variant<heartbeat_reply_message, fetch_config_reply_message,
                 ledger_claim_reply_message, ledger_finish_reply_message,
                 ledger_read_reply_message, not_leader_message>;

}  // namespace almond

#endif  // ALMOND_CORE_CONTROL_MESSAGES_H_
