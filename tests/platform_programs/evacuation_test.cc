#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform_programs/control_programs.h"

namespace almond {
namespace {

constexpr milliseconds kStartLimit{15000};

class evacuation_programs_fixture {
 protected:
  bool Change(const std::string& method) {
    return programs_
        .Call(method, "/almondproxy/evacuate/zone-1", "", kStartLimit)
        .has_value();
  }
  std::optional<nlohmann::json> List() {
    const auto body = programs_.Call("GET", "/v1/evacuations", "", kStartLimit);
    if (!body) return std::nullopt;
    return nlohmann::json::parse(*body);
  }

  control_programs programs_{6, 2};
};

// Guards against an acknowledged evacuation that only the lost disks held.
TEST_CASE_METHOD(
    evacuation_programs_fixture,
    "control programs / evacuated, then power and two disks lost / "
    "evacuation still in force, withdrawn once") {
  REQUIRE(Change("POST"));
  REQUIRE(programs_.AwaitAdmitted(3, kStartLimit));
  REQUIRE(Change("POST"));
  for (std::size_t i = 0; i < programs_.Machines(); ++i) programs_.Kill(i);
  programs_.EmptyDisk(0);
  programs_.EmptyDisk(4);
  for (std::size_t i = 0; i < programs_.Machines(); ++i) {
    programs_.Start(i, false);
  }
  CHECK(List() ==
        nlohmann::json{{"revision", 1}, {"data_centres", {"zone-1"}}});
  CHECK(Change("DELETE"));
  CHECK(Change("DELETE"));
  CHECK(List() == nlohmann::json{{"revision", 2},
                                 {"data_centres", nlohmann::json::array()}});
}

}  // namespace
}  // namespace almond
