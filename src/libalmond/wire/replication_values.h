#ifndef ALMOND_WIRE_REPLICATION_VALUES_H_
#define ALMOND_WIRE_REPLICATION_VALUES_H_

#include "libalmond/replication/replication_messages.h"
#include "replication_types.h"

namespace almond::wire {

/// Conversions of the values used in both messages and stored records. Each
/// Decode returns false if a value is out of its range.
LogEntry Encode(const log_entry& entry);
bool Decode(LogEntry& encoded, log_entry& entry);
ReplicaMembers Encode(const membership& members);
bool Decode(const ReplicaMembers& encoded, membership& members);
ReplicaPlace MakePlace(const replica_id& id, replica_incarnation incarnation);

inline std::int64_t NumberToWire(std::uint64_t value) {
  return static_cast<std::int64_t>(value);
}

/// @returns false if the number is negative
inline bool ReadNumber(std::int64_t value, std::uint64_t& result) {
  result = static_cast<std::uint64_t>(value);
  return value >= 0;
}

}  // namespace almond::wire

#endif  // ALMOND_WIRE_REPLICATION_VALUES_H_
