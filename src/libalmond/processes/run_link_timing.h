#ifndef ALMOND_PROCESSES_RUN_LINK_TIMING_H_
#define ALMOND_PROCESSES_RUN_LINK_TIMING_H_

#include "libalmond/net/peer_link.h"

namespace almond {

/// Timing of the links between entries and agents that account for resources.
/// An agent stops an entry's runs when the link to the entry closes, and a link
/// without received bytes closes after the receive timeout. The runs have to
/// end before the entry's callers retry at another entry; the shortest time to
/// such a retry is 1.3 s. The receive timeout is therefore well below 1.3 s
/// minus the time that the agent needs to detect the silence and to stop the
/// runs.
inline constexpr link_timing kRunLinkTiming{
    milliseconds(200), milliseconds(650), milliseconds(50)};

}  // namespace almond

#endif  // ALMOND_PROCESSES_RUN_LINK_TIMING_H_
