#ifndef ALMOND_FILTERS_TEAM_FILTER_H_
#define ALMOND_FILTERS_TEAM_FILTER_H_

#include <functional>

#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Settles the team; refuses teams that the configuration does not have.
/// @param config the configuration in force
request_filter MakeTeamFilter(
    std::function<const data_centre_config*()> config);

}  // namespace almond

#endif  // ALMOND_FILTERS_TEAM_FILTER_H_
