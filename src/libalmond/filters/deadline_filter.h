#ifndef ALMOND_FILTERS_DEADLINE_FILTER_H_
#define ALMOND_FILTERS_DEADLINE_FILTER_H_

#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Sets the deadline from the caller's timeout, or from the service's default
/// if the caller gave none; limited by the service's maximum.
request_filter MakeDeadlineFilter(const clock_interface& clock);

}  // namespace almond

#endif  // ALMOND_FILTERS_DEADLINE_FILTER_H_
