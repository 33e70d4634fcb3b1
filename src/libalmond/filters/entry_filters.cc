#include "libalmond/filters/entry_filters.h"

#include "libalmond/filters/capacity_filter.h"
#include "libalmond/filters/deadline_filter.h"
#include "libalmond/filters/draining_filter.h"
#include "libalmond/filters/endpoint_filter.h"
#include "libalmond/filters/idempotency_filter.h"
#include "libalmond/filters/overload_filter.h"
#include "libalmond/filters/quota_filter.h"
#include "libalmond/filters/service_filter.h"
#include "libalmond/filters/size_filter.h"
#include "libalmond/filters/team_filter.h"

namespace almond {

filter_chain MakeEntryFilters(const entry_filter_inputs& inputs) {
  return filter_chain({
      MakeServiceFilter(inputs.config),
      MakeTeamFilter(inputs.config),
      MakeSizeFilter(),
      MakeIdempotencyFilter(),
      MakeDeadlineFilter(inputs.clock),
  });
}

filter_chain MakeAdmissionFilters(const entry_filter_inputs& inputs) {
  return filter_chain({
      MakeDrainingFilter(inputs.draining),
      MakeEndpointFilter(inputs.admission),
      MakeCapacityFilter(inputs.admission),
      MakeQuotaFilter(inputs.admission, inputs.config),
      MakeOverloadFilter(inputs.admission, inputs.clock),
  });
}

}  // namespace almond
