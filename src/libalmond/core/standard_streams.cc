#include "libalmond/core/standard_streams.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <string>

namespace almond {
namespace {

/// Replaces a descriptor by a non-blocking one for the same pipe or terminal.
/// @returns false if it cannot be opened again
bool OpenAgain(int descriptor, const struct stat& status) {
  const std::string path = "/proc/self/fd/" + std::to_string(descriptor);
  const int again =
      open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
  if (again < 0) return false;
  struct stat opened {};
  const bool same =
      fstat(again, &opened) == 0 && opened.st_dev == status.st_dev &&
      opened.st_ino == status.st_ino && dup2(again, descriptor) == descriptor;
  close(again);
  return same;
}

}  // namespace

void MakeStandardStreamsNonBlocking() {
  std::signal(SIGPIPE, SIG_IGN);
  MakeNonBlocking(STDOUT_FILENO);
  MakeNonBlocking(STDERR_FILENO);
}

void MakeNonBlocking(int descriptor) {
  struct stat status {};
  if (fstat(descriptor, &status) != 0) return;
  const bool reopenable = S_ISFIFO(status.st_mode) || isatty(descriptor) != 0;
  if (!reopenable && !S_ISSOCK(status.st_mode)) return;
  if (reopenable && OpenAgain(descriptor, status)) return;
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

std::optional<std::size_t> WriteToStandardOutput(std::string_view bytes) {
  const ssize_t written = write(STDOUT_FILENO, bytes.data(), bytes.size());
  if (written >= 0) return static_cast<std::size_t>(written);
  if (errno == EPIPE) return std::nullopt;
  return 0;
}

}  // namespace almond
