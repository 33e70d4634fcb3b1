#ifndef ALMOND_CONTROLLERS_EVACUATION_HOLDER_H_
#define ALMOND_CONTROLLERS_EVACUATION_HOLDER_H_

#include "libalmond/core/evacuations.h"

namespace almond {

/// The evacuated data centres as an entry or agent knows them. Their revision
/// never decreases.
class evacuation_holder {
 public:
  /// Replaces the list if its revision is higher than the present one.
  /// @returns true if the list has changed
  bool ApplyIfNewer(evacuation_list list);

  const evacuation_list& Evacuations() const { return list_; }
  /// @returns true if no task may be started in the data centre
  bool IsEvacuated(const data_centre_id& data_centre) const {
    return list_.Contains(data_centre);
  }

 private:
  evacuation_list list_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_EVACUATION_HOLDER_H_
