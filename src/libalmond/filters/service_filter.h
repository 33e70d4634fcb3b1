#ifndef ALMOND_FILTERS_SERVICE_FILTER_H_
#define ALMOND_FILTERS_SERVICE_FILTER_H_

#include <functional>

#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Finds the service's settings. Refuses unknown services, and all requests
/// while there is no configuration.
/// @param config returns the configuration in force, or null while there is
///   none
request_filter MakeServiceFilter(
    std::function<const data_centre_config*()> config);

}  // namespace almond

#endif  // ALMOND_FILTERS_SERVICE_FILTER_H_
