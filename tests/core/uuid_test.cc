#include "libalmond/core/uuid.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

class uuid_fixture {
 protected:
  std::mt19937_64 random_{1};
  manual_clock clock_;
};

// Guards against a ledger window that is computed from a damaged timestamp.
TEST_CASE_METHOD(
    uuid_fixture,
    "uuid / made as version 7 / carries its time and round trips") {
  const uuid id = uuid::MakeV7(clock_.WallNow(), random_);
  CHECK(id.IsV7());
  CHECK(id.Timestamp() == std::chrono::floor<milliseconds>(clock_.WallNow()));
  CHECK(uuid::Parse(id.ToString()) == id);
  CHECK(uuid::FromBytes(id.Bytes()) == id);
}

// Guards against a malformed submission id that is parsed as a valid one.
TEST_CASE_METHOD(uuid_fixture, "uuid / malformed text / is refused") {
  const std::string text = GENERATE(as<std::string>{}, "", "0190",
                                    "01900000-0000-7000-8000-00000000000",
                                    "01900000-0000-7000-8000-0000000000000",
                                    "01900000x0000-7000-8000-000000000000",
                                    "g1900000-0000-7000-8000-000000000000");
  CHECK_FALSE(uuid::Parse(text).has_value());
}

// Guards against an id whose timestamp wraps around into the past.
TEST_CASE("uuid / timestamp beyond the clock's range / the latest time") {
  const char* const text = GENERATE("08637bd0-5af7-7000-8000-000000000000",
                                    "ffffffff-ffff-7fff-bfff-ffffffffffff");
  const auto id = uuid::Parse(text);
  REQUIRE(id);
  CHECK(id->Timestamp() == std::chrono::floor<milliseconds>(wall_time::max()));
}

}  // namespace
}  // namespace almond
