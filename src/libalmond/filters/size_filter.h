#ifndef ALMOND_FILTERS_SIZE_FILTER_H_
#define ALMOND_FILTERS_SIZE_FILTER_H_

#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Refuses requests with too many tasks or a too large body.
request_filter MakeSizeFilter();

}  // namespace almond

#endif  // ALMOND_FILTERS_SIZE_FILTER_H_
