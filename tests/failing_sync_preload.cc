// Loaded into a program of the soak before the C library. Syncs fail with an
// input/output error while the file exists that ALMOND_FAILING_SYNC names.
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

namespace {

int Sync(long call, int descriptor) {
  const char* file = std::getenv("ALMOND_FAILING_SYNC");
  if (file == nullptr || access(file, F_OK) != 0) {
    return static_cast<int>(syscall(call, descriptor));
  }
  errno = EIO;
  return -1;
}

}  // namespace

extern "C" int fdatasync(int descriptor) {
  return Sync(SYS_fdatasync, descriptor);
}
extern "C" int fsync(int descriptor) { return Sync(SYS_fsync, descriptor); }
