#ifndef ALMOND_REPLICATION_REPLICA_IDENTITY_H_
#define ALMOND_REPLICATION_REPLICA_IDENTITY_H_

#include <cstdint>

#include "libalmond/core/identifiers.h"

namespace almond {

/// Identifies a replica of the control log; survives the replacement of its
/// disk.
using replica_id = typed_name<struct replica_tag>;
/// Identifies a replica's disk contents. An emptied disk gets a new
/// incarnation.
using replica_incarnation = typed_number<struct replica_incarnation_tag>;
/// Election term of the control log.
using log_term = std::uint64_t;
/// Position in the control log, counted from 1; 0 means none.
using log_index = std::uint64_t;

/// Incarnation of every replica of a newly bootstrapped cluster.
inline constexpr replica_incarnation kBootstrapIncarnation{1};

}  // namespace almond

#endif  // ALMOND_REPLICATION_REPLICA_IDENTITY_H_
