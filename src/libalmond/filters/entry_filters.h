#ifndef ALMOND_FILTERS_ENTRY_FILTERS_H_
#define ALMOND_FILTERS_ENTRY_FILTERS_H_

#include <functional>

#include "libalmond/filters/admission_hooks.h"
#include "libalmond/filters/filter_chain.h"

namespace almond {

/// Dependencies of an entry's filters.
struct entry_filter_inputs {
  const clock_interface& clock;
  std::function<bool()> draining;
  std::function<const data_centre_config*()> config;
  admission_hooks admission;
};

/// Builds the first filter chain of an entry, which validates and completes a
/// request.
/// @returns the filters in the order of their decisions
filter_chain MakeEntryFilters(const entry_filter_inputs& inputs);

/// Builds the second filter chain of an entry, which decides whether a request
/// is admitted. It is not run for a resubmission of work known to the entry, as
/// that starts nothing.
/// @returns the filters in the order of their decisions
filter_chain MakeAdmissionFilters(const entry_filter_inputs& inputs);

}  // namespace almond

#endif  // ALMOND_FILTERS_ENTRY_FILTERS_H_
