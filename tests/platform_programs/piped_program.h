#ifndef ALMOND_TESTS_PLATFORM_PROGRAMS_PIPED_PROGRAM_H_
#define ALMOND_TESTS_PLATFORM_PROGRAMS_PIPED_PROGRAM_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "libalmond/core/socket_address.h"

namespace almond {

/// A program of the same build whose standard output and standard error go
/// through one pipe to the test. Killed at the end of its life.
class piped_program {
 public:
  /// @param name file name of the program
  /// @param arguments flags of the program
  /// @param environment NAME=VALUE, in addition to the test's own
  piped_program(const std::string& name,
                const std::vector<std::string>& arguments,
                const std::vector<std::string>& environment = {});
  ~piped_program();
  piped_program(const piped_program&) = delete;
  piped_program& operator=(const piped_program&) = delete;

  /// @returns what has been written to the pipe and not been read yet
  std::string ReadAvailable();
  void CloseReader();
  pid_t Id() const { return process_; }
  void Signal(int signal) const;
  /// @returns true if the process has ended
  bool Ended();
  /// @returns how it ended, valid if Ended
  std::string End() const;
  /// @returns true if the test's own end of the pipe for writing, which it
  ///   shares with the program, still blocks
  bool SharedEndBlocks() const;

 private:
  pid_t process_ = 0;
  std::optional<int> status_;
  int reader_ = -1;
  int writer_ = -1;
};

/// @returns the first three numbers, with a dot at the end, of addresses of the
///   loopback network that no other test is likely to use
std::string ChooseLoopbackNet();

/// @param ip address of the loopback network
/// @param count number of ports
/// @returns the first of adjacent ports on which nothing listens
std::uint16_t ChooseAdjacentPorts(const std::string& ip, std::uint16_t count);

}  // namespace almond

#endif  // ALMOND_TESTS_PLATFORM_PROGRAMS_PIPED_PROGRAM_H_
