#ifndef ALMOND_CORE_RESOURCES_H_
#define ALMOND_CORE_RESOURCES_H_

#include <cstdint>

namespace almond {

/// Processor, memory and accelerators that a task needs or a minion has.
struct resources {
  std::int64_t cpu_milli = 0;     ///< thousandths of a core
  std::int64_t memory_mib = 0;    ///< mebibytes
  std::int64_t accelerators = 0;  ///< whole accelerators

  bool operator==(const resources&) const = default;

  resources& operator+=(const resources& other) {
    cpu_milli += other.cpu_milli;
    memory_mib += other.memory_mib;
    accelerators += other.accelerators;
    return *this;
  }
  resources& operator-=(const resources& other) {
    cpu_milli -= other.cpu_milli;
    memory_mib -= other.memory_mib;
    accelerators -= other.accelerators;
    return *this;
  }
  /// @returns true if each amount is at least that of `needed`
  bool Covers(const resources& needed) const {
    return needed.cpu_milli <= cpu_milli && needed.memory_mib <= memory_mib &&
           needed.accelerators <= accelerators;
  }
};

}  // namespace almond

#endif  // ALMOND_CORE_RESOURCES_H_
