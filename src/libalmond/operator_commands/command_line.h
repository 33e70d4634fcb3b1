#ifndef ALMOND_OPERATOR_COMMANDS_COMMAND_LINE_H_
#define ALMOND_OPERATOR_COMMANDS_COMMAND_LINE_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libalmond/core/socket_address.h"

namespace almond {

/// An invalid command line.
struct usage_error {
  std::string message;
};

/// A command with its validated flags. gflags is not used here: it ends the
/// process with exit code 1 on an invalid flag, which means "refused" for
/// almondctl, and it supports neither flags per command nor repeated flags.
class command_line {
 public:
  /// @param arguments without the program's name
  /// @param control_setting default of --control; may be empty
  /// @returns the command line, or usage_error
  static boost::leaf::result<command_line> Parse(
      const std::vector<std::string>& arguments,
      const std::string& control_setting);

  /// @returns words of the command; empty if only --help or --version is given
  const std::string& Command() const { return command_; }
  bool Has(const std::string& flag) const { return values_.contains(flag); }
  /// @returns the flag's value, or an empty string
  std::string Text(const std::string& flag) const;
  /// @returns the flag's value, or the default
  std::uint64_t Number(const std::string& flag,
                       std::uint64_t default_value) const;
  /// @returns the addresses of a flag with URLs; may be empty
  std::vector<socket_address> Addresses(const std::string& flag) const;
  /// @returns overlay file by data centre
  const std::map<std::string, std::string>& Overlays() const {
    return overlays_;
  }

 private:
  std::string command_;
  std::map<std::string, std::string> values_;
  std::map<std::string, std::string> overlays_;

  friend class command_line_parser;
};

/// @param text URLs of the form http://IP:PORT, separated by commas
/// @returns the addresses, or nothing if one of them is malformed
std::optional<std::vector<socket_address>> ParseUrls(std::string_view text);

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_COMMAND_LINE_H_
