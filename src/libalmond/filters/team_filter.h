#ifndef ALMOND_FILTERS_TEAM_FILTER_H_
#define ALMOND_FILTERS_TEAM_FILTER_H_

#include <functional>

#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Defaults the team to that of the service and refuses teams that are not
/// configured.
/// @param config returns the configuration in force
request_filter MakeTeamFilter(
    std::function<const data_centre_config*()> config);

}  // namespace almond

#endif  // ALMOND_FILTERS_TEAM_FILTER_H_
