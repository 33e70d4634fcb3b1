#ifndef ALMOND_WIRE_REPLICATION_RECORDS_H_
#define ALMOND_WIRE_REPLICATION_RECORDS_H_

#include <optional>
#include <string>
#include <variant>

#include "libalmond/replication/persistent_records.h"

namespace almond {

/// First record of a compacted log file: the last entry that was removed.
struct log_base_record {
  log_index index = 0;
  log_term term = 0;

  bool operator==(const log_base_record&) const = default;
};

/// One entry with its index; replaces all entries from that index on.
struct log_entry_record {
  log_index index = 0;
  log_entry entry;

  bool operator==(const log_entry_record&) const = default;
};

/// A record of a replica's log file.
using log_record = std::variant<vote_record, log_entry_record, log_base_record>;

/// @returns the record's bytes
std::string EncodeLogRecord(const log_record& record);
/// @returns the record, or nothing if the bytes are not one
std::optional<log_record> DecodeLogRecord(const std::string& bytes);

/// @returns the content of a snapshot file
std::string EncodeSnapshot(const replica_snapshot& snapshot);
/// @returns the snapshot, or nothing if the content is not one
std::optional<replica_snapshot> DecodeSnapshot(const std::string& content);

}  // namespace almond

#endif  // ALMOND_WIRE_REPLICATION_RECORDS_H_
