#include "libalmond/processes/start_retry.h"

#include <csignal>

#include "libalmond/core/logging.h"
#include "libalmond/net/event_loop.h"

namespace almond {
namespace {

constexpr milliseconds kStartRetryPeriod{250};

}  // namespace

start_error MakeStartError(const storage_error& error) {
  return {error.ToString(), error.temporary};
}

bool AwaitNextStart(const start_error& error) {
  LOG(ERROR) << "cannot start yet: " << error.message << "; retrying";
  event_loop loop;
  bool ended = false;
  const auto end = [&] {
    ended = true;
    loop.Stop();
  };
  const event_handle terminate = loop.OnSignal(SIGTERM, end);
  const event_handle interrupt = loop.OnSignal(SIGINT, end);
  const event_handle next =
      loop.After(kStartRetryPeriod, [&loop] { loop.Stop(); });
  loop.Run();
  return !ended;
}

}  // namespace almond
