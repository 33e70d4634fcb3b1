#include "flags/limit_flags.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdint>
#include <iostream>

DEFINE_uint64(memory_limit_mib, 0,
              "Memory that the process may use, in MiB, 64 to 1048576; limits "
              "what its clients may occupy. 0 takes half of the machine's.");
DEFINE_uint64(max_descriptors, 0,
              "Descriptors that the process may open, 64 or more; a higher "
              "limit of the system is not used. 0 takes the system's limit.");
DEFINE_uint64(max_connections, 0,
              "Connections that the HTTP listener may have, 8 or more. 0 takes "
              "a half of the descriptors.");

namespace almond {
namespace {

bool InRange(const char* name, std::uint64_t value, std::uint64_t lowest,
             std::uint64_t highest) {
  if (value == 0 || (value >= lowest && value <= highest)) return true;
  std::cerr << "--" << name << ": expected 0 or " << lowest << " to " << highest
            << ", got " << value << "\n";
  return false;
}

}  // namespace

std::optional<input_limits> ReadLimitFlags() {
  constexpr std::uint64_t kMaxMemoryMib = std::uint64_t{1} << 20U;
  constexpr std::uint64_t kMaxDescriptors = std::uint64_t{1} << 24U;
  constexpr std::uint64_t kMinDescriptors = 64;
  constexpr std::uint64_t kMinMemoryMib = 64;
  constexpr std::uint64_t kMinConnections = 8;
  if (!InRange("memory_limit_mib", FLAGS_memory_limit_mib, kMinMemoryMib,
               kMaxMemoryMib) ||
      !InRange("max_descriptors", FLAGS_max_descriptors, kMinDescriptors,
               kMaxDescriptors) ||
      !InRange("max_connections", FLAGS_max_connections, kMinConnections,
               kMaxDescriptors)) {
    return std::nullopt;
  }
  process_capacity capacity = DetectCapacity();
  if (FLAGS_memory_limit_mib != 0) {
    capacity.memory_bytes = FLAGS_memory_limit_mib << 20U;
  }
  if (FLAGS_max_descriptors != 0) {
    capacity.descriptors =
        std::min<std::size_t>(capacity.descriptors, FLAGS_max_descriptors);
  }
  input_limits limits = LimitsFor(capacity);
  if (FLAGS_max_connections > limits.max_connections) {
    std::cerr << "--max_connections: " << FLAGS_max_connections
              << " connections need more memory or descriptors than the "
                 "process has, which allow "
              << limits.max_connections << "\n";
    return std::nullopt;
  }
  if (FLAGS_max_connections != 0) {
    limits.max_connections = FLAGS_max_connections;
    limits.max_probe_connections = std::min<std::size_t>(
        limits.max_probe_connections, FLAGS_max_connections);
  }
  return limits;
}

}  // namespace almond
