#ifndef ALMOND_FILTERS_SIZE_FILTER_H_
#define ALMOND_FILTERS_SIZE_FILTER_H_

#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Refuses requests with too many tasks or with a task body that is too large.
request_filter MakeSizeFilter();

}  // namespace almond

#endif  // ALMOND_FILTERS_SIZE_FILTER_H_
