#ifndef ALMOND_WIRE_REPLICATION_CODEC_H_
#define ALMOND_WIRE_REPLICATION_CODEC_H_

#include <optional>
#include <string>

#include "libalmond/core/frame.h"
#include "libalmond/replication/replication_messages.h"

namespace almond {

/// @param message a message between replicas
/// @param cluster cluster id of the sender
/// @returns its frame
frame EncodeReplicaMessage(const replica_message& message,
                           const std::string& cluster);

/// @param encoded a frame that a replica received
/// @param cluster cluster id of the receiver
/// @returns the message, or nothing if the type is unknown, the payload is
///   malformed, a value is out of its range, or it is from another cluster
std::optional<replica_message> DecodeReplicaMessage(const frame& encoded,
                                                    const std::string& cluster);

}  // namespace almond

#endif  // ALMOND_WIRE_REPLICATION_CODEC_H_
