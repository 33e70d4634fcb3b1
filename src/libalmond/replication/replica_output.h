#ifndef ALMOND_REPLICATION_REPLICA_OUTPUT_H_
#define ALMOND_REPLICATION_REPLICA_OUTPUT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "libalmond/replication/persistent_records.h"
#include "libalmond/replication/replication_messages.h"

namespace almond {

/// A committed entry that is to be applied.
struct committed_entry {
  log_index index = 0;
  log_entry_kind kind = log_entry_kind::no_op;
  std::string command;
};

/// Work for the owner of a replica, to be done in the order of the members.
struct replica_output {
  /// Number to be passed to replica::OnPersisted once the records are synced.
  std::uint64_t batch = 0;
  /// Records to be written and synced before the messages of this and of any
  /// later output are sent.
  std::vector<persistent_record> records;
  std::vector<replica_message> messages;
  /// If set, the state machine is to be restored from this snapshot.
  std::shared_ptr<const replica_snapshot> restore;
  /// Entries to be applied in order, each followed by a call of
  /// replica::OnApplied.
  std::vector<committed_entry> committed;
  /// Hooks of completed proposals and reads, to be called last.
  std::vector<std::function<void()>> completions;

  bool Empty() const {
    return records.empty() && messages.empty() && !restore &&
           committed.empty() && completions.empty();
  }
};

}  // namespace almond

#endif  // ALMOND_REPLICATION_REPLICA_OUTPUT_H_
