#include "libalmond/net/input_limits.h"

#include <sys/resource.h>
#include <sys/sysinfo.h>

#include <algorithm>

namespace almond {
namespace {

constexpr std::size_t kMinBodyBytes = std::size_t{1} << 20U;
constexpr std::size_t kMaxBodyBytes = std::size_t{64} << 20U;
/// A parsed JSON document takes up to 27 times the space of its text.
constexpr std::size_t kBodyDivisor = 64;
constexpr std::size_t kHeldDivisor = 4;
constexpr std::size_t kBytesPerConnection = std::size_t{64} << 10U;

}  // namespace

process_capacity DetectCapacity() {
  process_capacity result;
  struct sysinfo machine {};
  if (sysinfo(&machine) == 0) {
    result.memory_bytes = std::size_t{machine.totalram} * machine.mem_unit / 2;
  }
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0) {
    result.descriptors = descriptors.rlim_cur;
  }
  return result;
}

input_limits LimitsFor(const process_capacity& capacity) {
  // The shares of a process's listeners add up to at most seven eighths.
  constexpr std::size_t kMainDivisor = 2;
  constexpr std::size_t kProbeDivisor = 16;
  constexpr std::size_t kPeerDivisor = 4;
  input_limits limits;
  limits.max_body_bytes = std::clamp(capacity.memory_bytes / kBodyDivisor,
                                     kMinBodyBytes, kMaxBodyBytes);
  limits.max_held_bytes = capacity.memory_bytes / kHeldDivisor;
  limits.max_connections =
      std::min(capacity.descriptors / kMainDivisor,
               capacity.memory_bytes / kBytesPerConnection);
  limits.max_probe_connections =
      std::min(capacity.descriptors / kProbeDivisor, limits.max_connections);
  limits.max_peer_connections = capacity.descriptors / kPeerDivisor;
  limits.max_member_connections =
      capacity.descriptors - limits.max_peer_connections;
  return limits;
}

}  // namespace almond
