#ifndef ALMOND_FILTERS_DRAINING_FILTER_H_
#define ALMOND_FILTERS_DRAINING_FILTER_H_

#include <functional>

#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Refuses all requests while the process shuts down.
/// @param draining returns true from the first termination signal on
request_filter MakeDrainingFilter(std::function<bool()> draining);

}  // namespace almond

#endif  // ALMOND_FILTERS_DRAINING_FILTER_H_
