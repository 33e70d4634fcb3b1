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
  no_op,    ///< first entry of a leader's term
  command,  ///< for the state machine
  replace,  ///< retires a replica's incarnation and sets its successor
  admit,    ///< makes the successor a voter
  add       ///< adds a place whose replica is a voter at once
};

/// One entry of the control log.
struct log_entry {
  log_term term = 0;
  log_entry_kind kind = log_entry_kind::no_op;
  std::string command;              ///< for kind `command`
  replica_id replica;               ///< for changes of the membership
  replica_incarnation incarnation;  ///< for changes of the membership

  /// @returns approximate size in memory in bytes
  std::size_t Size() const { return sizeof(log_entry) + command.size(); }
  bool operator==(const log_entry&) const = default;
};

/// State of the state machine that replaces the log up to an index.
struct replica_snapshot {
  log_index index = 0;
  log_term term = 0;  ///< of the entry at `index`
  membership members;
  std::string data;

  bool operator==(const replica_snapshot&) const = default;
};

/// Sent by a candidate to all voters. The message's term is the term in which
/// the candidate wants to lead.
struct vote_request {
  bool pre_vote = false;  ///< asks only whether a vote would be granted
  log_index last_index = 0;
  log_term last_term = 0;
  /// The receiver's voting incarnation according to the candidate's log. Any
  /// other incarnation must not vote.
  replica_incarnation voter;

  bool operator==(const vote_request&) const = default;
};

struct vote_reply {
  bool pre_vote = false;
  bool granted = false;

  bool operator==(const vote_reply&) const = default;
};

/// Sent by the leader to all replicas; also serves as the heartbeat.
struct append_request {
  std::uint64_t round = 0;  ///< number of the leader's latest broadcast
  log_index previous_index = 0;
  log_term previous_term = 0;
  log_index commit_index = 0;
  std::vector<log_entry> entries;  ///< from previous_index + 1 on

  bool operator==(const append_request&) const = default;
};

struct append_reply {
  std::uint64_t round = 0;  ///< of the request
  bool success = false;
  /// On success the last index up to which the log is synced and equal to the
  /// leader's; otherwise the index from which the leader should send.
  log_index index = 0;

  bool operator==(const append_reply&) const = default;
};

/// Sent by the leader to a replica that needs entries no longer in the leader's
/// log. A chunk without data asks the receiver for the offset to continue at.
struct snapshot_chunk {
  std::uint64_t round = 0;
  log_index last_index = 0;
  log_term last_term = 0;
  membership members;
  std::uint64_t total = 0;  ///< size of the snapshot in bytes
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
