#ifndef ALMOND_REPLICATION_PERSISTENT_RECORDS_H_
#define ALMOND_REPLICATION_PERSISTENT_RECORDS_H_

#include <memory>
#include <variant>
#include <vector>

#include "libalmond/replication/replication_messages.h"

namespace almond {

/// Current term of a replica and its vote in that term.
struct vote_record {
  log_term term = 0;
  replica_id voted_for;  ///< empty if it has not voted in this term
  replica_incarnation voted_incarnation;

  bool operator==(const vote_record&) const = default;
};

/// Log entries that replace everything from index `first` on.
struct append_record {
  log_index first = 0;
  std::vector<log_entry> entries;

  bool operator==(const append_record&) const = default;
};

/// A snapshot and the log entries after it; replaces all earlier records.
struct snapshot_record {
  std::shared_ptr<const replica_snapshot> snapshot;
  vote_record vote;
  std::vector<log_entry> entries;  ///< from snapshot->index + 1 on
};

using persistent_record =
    std::variant<vote_record, append_record, snapshot_record>;

/// State that a replica recovers from its disk.
struct persistent_state {
  vote_record vote;
  std::shared_ptr<const replica_snapshot> snapshot;  ///< null if none
  std::vector<log_entry> entries;  ///< from the snapshot's index + 1 on

  /// Applies one record; called in the order in which records were written.
  /// @returns false if the record leaves a gap in the log
  bool Apply(const persistent_record& record);
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_PERSISTENT_RECORDS_H_
