#ifndef ALMOND_CONTROLLERS_AGENT_RESOURCE_ACCOUNT_H_
#define ALMOND_CONTROLLERS_AGENT_RESOURCE_ACCOUNT_H_

#include <cstdint>

#include "libalmond/core/task.h"

namespace almond {

/// Announced CPU and memory of one endpoint, and the amounts that its tasks use
/// by their declared sizes. The endpoint itself does not check whether a task
/// fits.
class resource_account {
 public:
  /// @param cpu_milli thousandths of a core; 0 means no limit
  /// @param memory_mib mebibytes; 0 means no limit
  void SetTotal(std::uint32_t cpu_milli, std::uint32_t memory_mib) {
    cpu_total_ = cpu_milli;
    memory_total_ = memory_mib;
  }
  void Reset() { cpu_used_ = memory_used_ = 0; }

  void TakeCpu(const task_size& size) { cpu_used_ += size.cpu_milli; }
  void FreeCpu(const task_size& size) { cpu_used_ -= size.cpu_milli; }
  void TakeMemory(const task_size& size) { memory_used_ += size.memory_mib; }
  void FreeMemory(const task_size& size) { memory_used_ -= size.memory_mib; }

  bool CpuFits(std::uint64_t cpu_milli) const {
    return cpu_total_ == 0 || cpu_milli == 0 ||
           cpu_used_ + cpu_milli <= cpu_total_;
  }
  bool MemoryFits(std::uint64_t memory_mib) const {
    return memory_total_ == 0 || memory_mib == 0 ||
           memory_used_ + memory_mib <= memory_total_;
  }
  /// @returns true if a task of that size fits into the unused resources
  bool Fits(const task_size& size) const {
    return CpuFits(size.cpu_milli) && MemoryFits(size.memory_mib);
  }
  /// @returns true if a task of that size fits into the total resources
  bool FitsEmptyEndpoint(const task_size& size) const {
    return (cpu_total_ == 0 || size.cpu_milli <= cpu_total_) &&
           (memory_total_ == 0 || size.memory_mib <= memory_total_);
  }
  /// @returns true if the CPU or the memory is used up, unless it has no limit
  bool Exhausted() const { return !CpuFits(1) || !MemoryFits(1); }

  std::uint64_t CpuUsed() const { return cpu_used_; }
  std::uint64_t MemoryUsed() const { return memory_used_; }

 private:
  std::uint64_t cpu_total_ = 0;
  std::uint64_t memory_total_ = 0;
  std::uint64_t cpu_used_ = 0;
  std::uint64_t memory_used_ = 0;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_RESOURCE_ACCOUNT_H_
