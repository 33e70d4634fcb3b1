#ifndef ALMOND_NET_INPUT_LIMITS_H_
#define ALMOND_NET_INPUT_LIMITS_H_

#include <cstddef>

#include "libalmond/core/clock.h"

namespace almond {

/// Limits on what the clients of one process may occupy in it.
struct input_limits {
  /// Larger bodies are answered with 413.
  std::size_t max_body_bytes = std::size_t{64} << 20U;
  /// Larger request lines and headers are answered with 400.
  std::size_t max_header_bytes = std::size_t{32} << 10U;
  /// Connections of the listener for callers or endpoints.
  std::size_t max_connections = 512;
  /// Connections of each listener for monitoring, operators or replicas.
  std::size_t max_probe_connections = 64;
  /// Connections of an entry's listener for agents.
  std::size_t max_peer_connections = 256;
  /// Connections of a control process's listener for entries and agents.
  std::size_t max_member_connections = 768;
  /// Bytes that all connections together hold: requests that are being
  /// received, are in progress or were sent ahead, and answers being sent.
  std::size_t max_held_bytes = std::size_t{256} << 20U;
  /// Time from the first to the last byte of a request.
  milliseconds receive_timeout{60000};
};

/// Memory and descriptors that one process may use.
struct process_capacity {
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0;
};

/// @returns the capacity that the operating system reports: half of the
///   machine's memory, and the limit on open descriptors
process_capacity DetectCapacity();

/// Divides the capacity of a process among its listeners and leaves a reserve
/// for its own files and outgoing connections.
input_limits LimitsFor(const process_capacity& capacity);

}  // namespace almond

#endif  // ALMOND_NET_INPUT_LIMITS_H_
