#ifndef ALMOND_FILTERS_IDEMPOTENCY_FILTER_H_
#define ALMOND_FILTERS_IDEMPOTENCY_FILTER_H_

#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Applies the service's rule for the request's kind; without one the request
/// is non-idempotent.
request_filter MakeIdempotencyFilter();

}  // namespace almond

#endif  // ALMOND_FILTERS_IDEMPOTENCY_FILTER_H_
