#ifndef ALMOND_TESTS_OUTSIDE_CLIENTS_ATTACKED_PROGRAM_H_
#define ALMOND_TESTS_OUTSIDE_CLIENTS_ATTACKED_PROGRAM_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_message.h"
#include "platform_programs/piped_program.h"

namespace almond {

/// A listener of a program.
struct attacked_listener {
  const char* program;  ///< entry, agent or control
  bool platform;        ///< with the platform's interfaces
  const char* name;     ///< http, ready or metrics
  const char* path;     ///< answered without other processes
};

/// One program with low limits, alone on an address of the loopback network.
class attacked_program {
 public:
  /// @param listener the listener to be attacked
  /// @param descriptors the process's limit on open descriptors; 0 leaves the
  ///   test's own
  explicit attacked_program(const attacked_listener& listener,
                            std::size_t descriptors = 0);
  ~attacked_program();
  attacked_program(const attacked_program&) = delete;
  attacked_program& operator=(const attacked_program&) = delete;

  /// @returns the address of the listener
  const socket_address& Address() const { return address_; }
  /// Sends an ordinary request until it is answered.
  /// @returns false if it is not answered within a generous limit
  bool Answers();
  bool Ended() { return process_->Ended(); }
  void Signal(int signal) const { process_->Signal(signal); }
  /// @returns the growth of the process's peak memory since the start
  std::size_t PeakGrowthMib() const { return PeakMib() - idle_peak_mib_; }
  /// @returns the number of descriptors that were opened since the start and
  ///   are open
  std::size_t AddedDescriptors() const;
  /// Waits until the number of added descriptors is at most this.
  bool AwaitAddedDescriptors(std::size_t highest);

 private:
  std::vector<std::string> Flags(const attacked_listener& listener) const;
  socket_address Port(int offset) const;
  std::size_t PeakMib() const;
  std::size_t Descriptors() const;
  bool CallOnce();

  event_loop loop_;
  system_clock clock_;
  const std::string ip_ = ChooseLoopbackNet() + "1";
  const std::uint16_t first_port_ = ChooseAdjacentPorts(ip_, 8);
  std::string folder_;
  http_request ordinary_;
  socket_address address_;
  std::unique_ptr<piped_program> process_;
  std::size_t idle_peak_mib_ = 0;
  std::size_t idle_descriptors_ = 0;
};

}  // namespace almond

#endif  // ALMOND_TESTS_OUTSIDE_CLIENTS_ATTACKED_PROGRAM_H_
