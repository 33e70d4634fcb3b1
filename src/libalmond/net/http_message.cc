#include "libalmond/net/http_message.h"

#include <strings.h>

namespace almond {

std::vector<std::string> HeaderValues(const http_headers& headers,
                                      const std::string& name) {
  std::vector<std::string> values;
  for (const auto& [field, value] : headers) {
    if (strcasecmp(field.c_str(), name.c_str()) == 0) values.push_back(value);
  }
  return values;
}

std::string HeaderValue(const http_headers& headers, const std::string& name) {
  const std::vector<std::string> values = HeaderValues(headers, name);
  return values.empty() ? std::string() : values.front();
}

}  // namespace almond
