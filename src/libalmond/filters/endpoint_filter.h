#ifndef ALMOND_FILTERS_ENDPOINT_FILTER_H_
#define ALMOND_FILTERS_ENDPOINT_FILTER_H_

#include "libalmond/filters/admission_hooks.h"
#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Refuses requests while no endpoint of the service is connected.
/// @param admission hooks into the entry's controllers
request_filter MakeEndpointFilter(admission_hooks admission);

}  // namespace almond

#endif  // ALMOND_FILTERS_ENDPOINT_FILTER_H_
