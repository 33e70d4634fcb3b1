#include "libalmond/wire/frame_names.h"

#include <map>

namespace almond {

std::string FrameName(std::uint8_t type) {
  // The types of dispatch_codec.cc and run_codec.cc.
  static const std::map<std::uint8_t, std::string> names = {
      {1, "announce"},        {2, "grant"},
      {3, "recall"},          {4, "answer"},
      {5, "query_answer"},    {16, "entry_hello"},
      {17, "start"},          {18, "return_grants"},
      {19, "demand"},         {20, "query"},
      {21, "cancel"},         {22, "forget"},
      {32, "config_request"}, {33, "config_snapshot"},
      {112, "run_start"},     {113, "run_stop"},
      {114, "run_withdraw"},  {120, "endpoint_state"},
      {121, "run_end"}};
  const auto found = names.find(type);
  return found == names.end() ? "unknown" : found->second;
}

}  // namespace almond
