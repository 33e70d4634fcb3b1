#include "libalmond/core/task.h"

namespace almond {

std::string ToString(const task_name& name) {
  return name.submission.ToString() + "." + std::to_string(name.index);
}

}  // namespace almond
