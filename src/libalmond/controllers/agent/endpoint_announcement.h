#ifndef ALMOND_CONTROLLERS_AGENT_ENDPOINT_ANNOUNCEMENT_H_
#define ALMOND_CONTROLLERS_AGENT_ENDPOINT_ANNOUNCEMENT_H_

#include <cstdint>

#include "libalmond/core/dispatch_messages.h"
#include "libalmond/core/identifiers.h"
#include "libalmond/core/socket_address.h"

namespace almond {

/// Announcement of an endpoint to its agent.
struct endpoint_announcement {
  service_id service;
  socket_address address;
  std::uint32_t slots = 0;
  std::uint32_t cpu_milli = 0;   ///< thousandths of a core; 0 if not stated
  std::uint32_t memory_mib = 0;  ///< mebibytes; 0 if not stated
  endpoint_controls controls;

  bool operator==(const endpoint_announcement&) const = default;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_ENDPOINT_ANNOUNCEMENT_H_
