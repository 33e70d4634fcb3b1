#ifndef ALMOND_FILTERS_ENTRY_FILTERS_H_
#define ALMOND_FILTERS_ENTRY_FILTERS_H_

#include <functional>

#include "libalmond/filters/admission_hooks.h"
#include "libalmond/filters/filter_chain.h"

namespace almond {

/// What the filters of an entry need to know.
struct entry_filter_inputs {
  const clock_interface& clock;
  std::function<bool()> draining;
  std::function<const data_centre_config*()> config;
  admission_hooks state;
};

/// Checks a request and completes it.
/// @returns the first filter chain of an entry, in the order of decisions
filter_chain MakeEntryFilters(const entry_filter_inputs& inputs);

/// Decides whether there is room for a request. A resubmission of work that is
/// known to the entry does not run these filters, as it starts nothing.
/// @returns the second filter chain of an entry, in the order of decisions
filter_chain MakeAdmissionFilters(const entry_filter_inputs& inputs);

}  // namespace almond

#endif  // ALMOND_FILTERS_ENTRY_FILTERS_H_
