#ifndef ALMOND_FILTERS_ENDPOINT_FILTER_H_
#define ALMOND_FILTERS_ENDPOINT_FILTER_H_

#include "libalmond/filters/admission_hooks.h"
#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Refuses requests while no endpoint of the service is connected.
/// @param state the entry's controllers
request_filter MakeEndpointFilter(admission_hooks state);

}  // namespace almond

#endif  // ALMOND_FILTERS_ENDPOINT_FILTER_H_
