#ifndef ALMOND_PROCESSES_RUN_LINK_LIMITS_H_
#define ALMOND_PROCESSES_RUN_LINK_LIMITS_H_

#include "libalmond/net/peer_link.h"

namespace almond {

/// Limits of the links between entries and agents that account for room. A
/// silent entry's runs have to end before its callers try again elsewhere, so
/// the limit is well below the shortest time of such a try (1.3 s) less the
/// time of a check and of a stop.
inline constexpr link_timing kRunLinkLimits{
    milliseconds(200), milliseconds(650), milliseconds(50)};

}  // namespace almond

#endif  // ALMOND_PROCESSES_RUN_LINK_LIMITS_H_
