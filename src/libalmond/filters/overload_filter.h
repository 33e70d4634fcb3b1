#ifndef ALMOND_FILTERS_OVERLOAD_FILTER_H_
#define ALMOND_FILTERS_OVERLOAD_FILTER_H_

#include "libalmond/filters/admission_hooks.h"
#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Refuses a request whose last task cannot start and probably end before the
/// deadline, judged by the measured service rate.
/// @param state the entry's controllers
/// @param clock source of time
request_filter MakeOverloadFilter(admission_hooks state,
                                  const clock_interface& clock);

}  // namespace almond

#endif  // ALMOND_FILTERS_OVERLOAD_FILTER_H_
