#ifndef ALMOND_CORE_EVACUATIONS_H_
#define ALMOND_CORE_EVACUATIONS_H_

#include <algorithm>
#include <functional>
#include <vector>

#include "libalmond/core/identifiers.h"

namespace almond {

/// Counts the accepted changes of the evacuated data centres.
using evacuation_revision = typed_number<struct evacuation_revision_tag>;

/// The data centres that operators have evacuated: no task is started there.
/// Control processes send the complete list, as it is short.
struct evacuation_list {
  evacuation_revision revision;
  std::vector<data_centre_id> data_centres;  ///< ascending, without duplicates

  /// @returns true if no task may be started in the data centre
  bool Contains(const data_centre_id& data_centre) const {
    return std::binary_search(data_centres.begin(), data_centres.end(),
                              data_centre);
  }

  /// @returns true if the data centres are ascending and without duplicates
  bool IsOrdered() const {
    return std::adjacent_find(data_centres.begin(), data_centres.end(),
                              std::greater_equal<>()) == data_centres.end();
  }

  bool operator==(const evacuation_list&) const = default;
};

/// An operator's order to evacuate a data centre, or its withdrawal.
struct evacuation_change {
  data_centre_id data_centre;
  bool evacuated = true;  ///< false: tasks may be started there again

  bool operator==(const evacuation_change&) const = default;
};

}  // namespace almond

#endif  // ALMOND_CORE_EVACUATIONS_H_
