#ifndef ALMOND_REPLICATION_REPLICATION_MESSAGES_H_
#define ALMOND_REPLICATION_REPLICATION_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "libalmond/replication/membership.h"
#include "libalmond/replication/replica_identity.h"

namespace almond {

enum class log_entry_kind : std::uint8_t {
  empty,    ///< first entry of a leader's term
  command,  ///< for the state machine
  replace,  ///< retires a replica's incarnation and names its successor
  admit     ///< the successor counts from here on
};

/// One entry of the control log.
struct log_entry {
  log_term term = 0;
  log_entry_kind kind = log_entry_kind::empty;
  std::string command;              ///< of kind `command`
  replica_id replica;               ///< of kinds `replace` and `admit`
  replica_incarnation incarnation;  ///< of kinds `replace` and `admit`

  /// @returns size in memory in bytes, about
  std::size_t Size() const { return sizeof(log_entry) + command.size(); }
  bool operator==(const log_entry&) const = default;
};

/// State that takes the place of the log up to an index.
struct replica_snapshot {
  log_index index = 0;
  log_term term = 0;  ///< of the entry at `index`
  membership members;
  std::string data;

  bool operator==(const replica_snapshot&) const = default;
};

/// Candidate to all. The message's term is the term that the candidate asks
/// for.
struct vote_request {
  bool pre_vote = false;  ///< only asks whether a vote would be granted
  log_index last_index = 0;
  log_term last_term = 0;
  /// The receiver's incarnation that counts in the candidate's log. Another
  /// incarnation must not vote.
  replica_incarnation voter;

  bool operator==(const vote_request&) const = default;
};

struct vote_reply {
  bool pre_vote = false;
  bool granted = false;

  bool operator==(const vote_reply&) const = default;
};

/// Leader to all; also the heartbeat.
struct append_request {
  std::uint64_t round = 0;  ///< counts the leader's broadcasts
  log_index previous_index = 0;
  log_term previous_term = 0;
  log_index commit_index = 0;
  std::vector<log_entry> entries;  ///< from previous_index + 1 on

  bool operator==(const append_request&) const = default;
};

struct append_reply {
  std::uint64_t round = 0;  ///< of the request
  bool success = false;
  /// On success the last index known to equal the leader's log, synced; else
  /// the index from which the leader should send.
  log_index index = 0;

  bool operator==(const append_reply&) const = default;
};

/// Leader to a replica that lags behind the start of the leader's log. A chunk
/// without data asks for the offset.
struct snapshot_chunk {
  std::uint64_t round = 0;
  log_index last_index = 0;
  log_term last_term = 0;
  membership members;
  std::uint64_t total = 0;  ///< bytes of the whole snapshot
  std::uint64_t offset = 0;
  std::string data;

  bool operator==(const snapshot_chunk&) const = default;
};

struct snapshot_reply {
  std::uint64_t round = 0;
  log_index last_index = 0;
  std::uint64_t next_offset = 0;

  bool operator==(const snapshot_reply&) const = default;
};

/// A message between replicas.
struct replica_message {
  replica_id from;
  replica_incarnation from_incarnation;
  replica_id to;
  log_term term = 0;
  std::variant<vote_request, vote_reply, append_request, append_reply,
               snapshot_chunk, snapshot_reply>
      body;

  bool operator==(const replica_message&) const = default;
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_REPLICATION_MESSAGES_H_
