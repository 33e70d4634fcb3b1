#ifndef ALMOND_FILTERS_CAPACITY_FILTER_H_
#define ALMOND_FILTERS_CAPACITY_FILTER_H_

#include "libalmond/filters/admission_hooks.h"
#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Refuses tasks larger than any endpoint of the service; a size of 0 counts as
/// undeclared.
/// @param admission hooks into the entry's controllers
request_filter MakeCapacityFilter(admission_hooks admission);

}  // namespace almond

#endif  // ALMOND_FILTERS_CAPACITY_FILTER_H_
