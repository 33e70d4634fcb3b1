#include "libalmond/processes/operator_log.h"

#include <algorithm>
#include <string>
#include <utility>

#include "libalmond/core/logging.h"

namespace almond {
namespace {

constexpr std::size_t kMaxLoggedPath = 64;

}  // namespace

std::string LoggablePath(const std::string& path) {
  std::string result = path.substr(0, kMaxLoggedPath);
  std::replace_if(
      result.begin(), result.end(),
      [](char c) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        const bool digit = c >= '0' && c <= '9';
        return !letter && !digit &&
               std::string("/._-").find(c) == std::string::npos;
      },
      '?');
  return result;
}

http_server::responder LogAnswer(const clock_interface& clock,
                                 const http_request& request,
                                 http_server::responder respond) {
  if (request.method == "GET") return respond;
  return [&clock, received = clock.SteadyNow(), method = request.method,
          path = LoggablePath(request.path),
          respond = std::move(respond)](const http_response& response) {
    LOG(INFO) << method << " " << path << " answered with " << response.status
              << " after "
              << std::chrono::duration_cast<milliseconds>(clock.SteadyNow() -
                                                          received)
                     .count()
              << " ms";
    respond(response);
  };
}

}  // namespace almond
