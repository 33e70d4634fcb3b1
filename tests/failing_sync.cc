#include "failing_sync.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>

namespace almond {
namespace {

int failing = 0;

int Sync(long call, int descriptor) {
  if (failing == 0) return static_cast<int>(syscall(call, descriptor));
  errno = EIO;
  return -1;
}

}  // namespace

failing_sync::failing_sync() { ++failing; }
failing_sync::~failing_sync() { --failing; }

}  // namespace almond

// These take the place of the C library's functions in the test program.
extern "C" int fdatasync(int descriptor) {
  return almond::Sync(SYS_fdatasync, descriptor);
}
extern "C" int fsync(int descriptor) {
  return almond::Sync(SYS_fsync, descriptor);
}
