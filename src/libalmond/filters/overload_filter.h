#ifndef ALMOND_FILTERS_OVERLOAD_FILTER_H_
#define ALMOND_FILTERS_OVERLOAD_FILTER_H_

#include "libalmond/filters/admission_hooks.h"
#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Refuses a request whose last task, at the measured service rate, cannot
/// start and probably end before the deadline.
/// @param admission hooks into the entry's controllers
request_filter MakeOverloadFilter(admission_hooks admission,
                                  const clock_interface& clock);

}  // namespace almond

#endif  // ALMOND_FILTERS_OVERLOAD_FILTER_H_
