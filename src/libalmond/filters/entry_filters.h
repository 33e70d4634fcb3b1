#ifndef ALMOND_FILTERS_ENTRY_FILTERS_H_
#define ALMOND_FILTERS_ENTRY_FILTERS_H_

#include <functional>

#include "libalmond/filters/filter_chain.h"

namespace almond {

/// What the filters of an entry need to know.
struct entry_filter_inputs {
  const clock_interface& clock;
  std::function<bool()> draining;
  std::function<const site_config*()> config;
};

/// @returns the filter chain of an entry, in the order in which it decides
filter_chain MakeEntryFilters(const entry_filter_inputs& inputs);

}  // namespace almond

#endif  // ALMOND_FILTERS_ENTRY_FILTERS_H_
