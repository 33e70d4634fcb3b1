#include "libalmond/operator_commands/http_exchange.h"

namespace almond {

http_call_result SendAndWait(event_loop& loop, const socket_address& address,
                             const http_request& request,
                             milliseconds timeout) {
  http_call_result result;
  SendHttpRequest(loop, address, request, timeout,
                  [&](const http_call_result& ended) {
                    result = ended;
                    loop.Stop();
                  });
  loop.Run();
  return result;
}

void RunFor(event_loop& loop, duration time) {
  const event_handle timer = loop.After(time, [&] { loop.Stop(); });
  loop.Run();
}

}  // namespace almond
