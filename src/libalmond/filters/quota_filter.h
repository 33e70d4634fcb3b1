#ifndef ALMOND_FILTERS_QUOTA_FILTER_H_
#define ALMOND_FILTERS_QUOTA_FILTER_H_

#include "libalmond/filters/admission_hooks.h"
#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Refuses requests that would exceed the team's limit of queued tasks.
/// @param admission hooks into the entry's controllers
/// @param config returns the configuration in force
request_filter MakeQuotaFilter(
    admission_hooks admission,
    std::function<const data_centre_config*()> config);

}  // namespace almond

#endif  // ALMOND_FILTERS_QUOTA_FILTER_H_
