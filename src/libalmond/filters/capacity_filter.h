#ifndef ALMOND_FILTERS_CAPACITY_FILTER_H_
#define ALMOND_FILTERS_CAPACITY_FILTER_H_

#include "libalmond/filters/admission_hooks.h"
#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Refuses tasks that declare more than any endpoint has; a declared size of
/// zero means that nothing was declared.
/// @param state the entry's controllers
request_filter MakeCapacityFilter(admission_hooks state);

}  // namespace almond

#endif  // ALMOND_FILTERS_CAPACITY_FILTER_H_
