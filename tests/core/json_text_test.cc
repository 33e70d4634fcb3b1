#include "libalmond/core/json_text.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

std::string Nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

// Guards against a text that exhausts the memory of its reader.
TEST_CASE("json text / nested too deeply / discarded") {
  CHECK(ParseJson(Nested(kMaxJsonDepth)).is_array());
  CHECK(ParseJson(Nested(kMaxJsonDepth + 1)).is_discarded());
  CHECK(ParseJson(std::string(4U << 20U, '[')).is_discarded());
  CHECK(ParseJson("{\"a\":" + Nested(100000) + "}").is_discarded());
}

TEST_CASE("json text / brackets in strings or in excess / parsed as JSON") {
  const std::string brackets(1000, '[');
  CHECK(ParseJson("[\"\\\"" + brackets + "\"]").is_array());
  CHECK(ParseJson("]]]" + Nested(3)).is_discarded());
}

}  // namespace
}  // namespace almond
