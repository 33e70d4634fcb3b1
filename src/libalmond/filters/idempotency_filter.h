#ifndef ALMOND_FILTERS_IDEMPOTENCY_FILTER_H_
#define ALMOND_FILTERS_IDEMPOTENCY_FILTER_H_

#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Sets whether the request is idempotent by the service's rule for its kind;
/// without a rule it is not.
request_filter MakeIdempotencyFilter();

}  // namespace almond

#endif  // ALMOND_FILTERS_IDEMPOTENCY_FILTER_H_
