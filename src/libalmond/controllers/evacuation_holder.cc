#include "libalmond/controllers/evacuation_holder.h"

#include <utility>

namespace almond {

bool evacuation_holder::ApplyIfNewer(evacuation_list list) {
  if (list.revision <= list_.revision) return false;
  list_ = std::move(list);
  return true;
}

}  // namespace almond
