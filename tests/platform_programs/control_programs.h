#ifndef ALMOND_TESTS_PLATFORM_PROGRAMS_CONTROL_PROGRAMS_H_
#define ALMOND_TESTS_PLATFORM_PROGRAMS_CONTROL_PROGRAMS_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/socket_address.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_message.h"
#include "libalmond/processes/replica_assignment.h"

namespace almond {

/// Control programs with the platform's interfaces, as separate processes on
/// addresses of the loopback network, each with a data folder of its own.
class control_programs {
 public:
  /// @param machines number of programs; every second one is a seed
  /// @param tolerated_losses number of disks that may be lost at once
  control_programs(std::size_t machines, int tolerated_losses);
  ~control_programs();
  control_programs(const control_programs&) = delete;
  control_programs& operator=(const control_programs&) = delete;

  /// @param bootstrap true at the first start of the whole system
  void Start(std::size_t machine, bool bootstrap);
  /// Kills the program and waits until it has ended.
  void Kill(std::size_t machine);
  void EmptyDisk(std::size_t machine);

  /// Sends a request to each program in turn and follows redirects, until one
  /// answers with status 200.
  /// @returns the body, or nothing if none does within the limit
  std::optional<std::string> Call(const std::string& method,
                                  const std::string& path,
                                  const std::string& body, milliseconds limit);
  /// @returns true once the leader reports at least this number of replicas,
  ///   all of them admitted; false if it does not within the limit
  bool AwaitAdmitted(std::size_t replicas, milliseconds limit);
  /// @returns true once another machine has claimed the place of this one;
  ///   false if that does not happen within the limit
  bool AwaitClaimed(std::size_t machine, milliseconds limit);
  /// @returns the incarnation that is admitted for the seed's place, empty if
  ///   there is none
  std::string AdmittedIncarnation(std::size_t seed);
  /// @param incarnation the one that was admitted before
  /// @returns true once another incarnation is admitted for the seed's place;
  ///   false if that does not happen within the limit
  bool AwaitReplaced(std::size_t seed, const std::string& incarnation,
                     milliseconds limit);
  /// @returns true once the machine has stored the addresses of the replicas
  ///   without a place of its own; false if it does not within the limit
  bool AwaitStandby(std::size_t machine, milliseconds limit);
  /// @returns true once this number of machines has no place; false if that
  ///   does not happen within the limit
  bool AwaitStandbys(std::size_t count, milliseconds limit);
  /// @returns what the programs of all machines have logged
  std::string Logs() const;
  std::size_t Machines() const { return processes_.size(); }

 private:
  std::string Ip(std::size_t machine) const;
  std::string DataFolder(std::size_t machine) const;
  std::string LogPath(std::size_t machine) const;
  bool IsStandby(std::size_t machine) const;
  std::string SeedList() const;
  void ChoosePorts();
  std::optional<http_response> CallOne(const socket_address& address,
                                       const http_request& request);
  void Wait(milliseconds time);
  /// @returns true once the condition holds, false after the limit
  bool WaitUntil(milliseconds limit, const std::function<bool()>& condition);
  /// @returns the replicas that the leader reports, empty if none answers
  std::vector<replica_liveness> AdmittedReplicas();

  event_loop loop_;
  system_clock clock_;
  std::string folder_;
  int tolerated_losses_;
  std::uint16_t http_port_ = 0;
  std::uint16_t first_port_ = 0;
  std::vector<pid_t> processes_;
};

}  // namespace almond

#endif  // ALMOND_TESTS_PLATFORM_PROGRAMS_CONTROL_PROGRAMS_H_
