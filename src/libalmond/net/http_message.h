#ifndef ALMOND_NET_HTTP_MESSAGE_H_
#define ALMOND_NET_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace almond {

/// Header fields in the order in which they appear in the message.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// @param headers fields of a message
/// @param name field name, case-insensitive
/// @returns the values of all fields with that name
std::vector<std::string> HeaderValues(const http_headers& headers,
                                      const std::string& name);

/// @returns the first value of that name, or an empty string
std::string HeaderValue(const http_headers& headers, const std::string& name);

/// An HTTP request, received or to be sent.
struct http_request {
  std::string method;  ///< in upper case; empty if unknown
  std::string path;    ///< decoded, without the query
  std::string query;   ///< text after the question mark
  http_headers headers;
  std::string body;
  std::uint64_t number = 0;  ///< set by the server; unique within it
};

/// An HTTP response.
struct http_response {
  int status = 200;
  http_headers headers;
  std::string body;
};

}  // namespace almond

#endif  // ALMOND_NET_HTTP_MESSAGE_H_
