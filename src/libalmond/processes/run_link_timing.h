#ifndef ALMOND_PROCESSES_RUN_LINK_TIMING_H_
#define ALMOND_PROCESSES_RUN_LINK_TIMING_H_

#include "libalmond/net/peer_link.h"

namespace almond {

/// Timing of the links between entries and agents that account for resources.
/// The runs of a silent entry have to end before its callers retry at another
/// entry. The receive timeout is therefore well below the shortest time to such
/// a retry (1.3 s) minus the time for a check and a stop.
inline constexpr link_timing kRunLinkTiming{
    milliseconds(200), milliseconds(650), milliseconds(50)};

}  // namespace almond

#endif  // ALMOND_PROCESSES_RUN_LINK_TIMING_H_
