#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform_programs/control_programs.h"

namespace almond {
namespace {

constexpr milliseconds kStartLimit{15000};
constexpr milliseconds kRecoveryLimit{15000};

/// Six control programs that accept the loss of two disks, with a configuration
/// that was acknowledged after all replicas had been admitted.
class lost_disks_fixture {
 protected:
  static constexpr const char* kPath = "/almondproxy/config";

  lost_disks_fixture() {
    REQUIRE(Put(3));
    REQUIRE(programs_.AwaitAdmitted(3, kStartLimit));
    REQUIRE(Put(4));
  }

  bool Put(int version) {
    const nlohmann::json config = {{"version", version},
                                   {"services", {{{"name", "s"}}}},
                                   {"routes",
                                    {{{"name", "r"},
                                      {"host", "a.example"},
                                      {"path_prefix", "/x/"},
                                      {"timeout_ms", 1500},
                                      {"service", "s"}}}}};
    return programs_.Call("PUT", kPath, config.dump(), kStartLimit).has_value();
  }
  /// @returns the version of the configuration that is read back, or 0
  int VersionAfterRestart() {
    for (std::size_t i = 0; i < programs_.Machines(); ++i) {
      programs_.Start(i, false);
    }
    const auto body = programs_.Call("GET", kPath, "", kRecoveryLimit);
    if (!body) return 0;
    return nlohmann::json::parse(*body).value("version", 0);
  }

  control_programs programs_{6, 2};
};

// Guards against an acknowledged configuration that only the lost disks held.
TEST_CASE_METHOD(lost_disks_fixture,
                 "control programs / two disks lost at a power loss of all / "
                 "acknowledged configuration is read back") {
  const std::size_t first = GENERATE(0, 1, 2);
  for (std::size_t i = 0; i < programs_.Machines(); ++i) programs_.Kill(i);
  programs_.EmptyDisk(first);
  programs_.EmptyDisk(4);
  CHECK(VersionAfterRestart() == 4);
}

// Guards against replicas that nobody finds any more, because no seed that kept
// its disk has a place among them.
TEST_CASE_METHOD(lost_disks_fixture,
                 "control programs / two seeds lost and one replaced before / "
                 "acknowledged configuration is read back") {
  const std::string incarnation = programs_.AdmittedIncarnation(0);
  REQUIRE_FALSE(incarnation.empty());
  programs_.Kill(0);
  REQUIRE(programs_.AwaitReplaced(0, incarnation, kStartLimit));
  programs_.Start(0, false);
  const bool standby = programs_.AwaitStandby(0, kStartLimit);
  INFO(programs_.Logs());
  REQUIRE(standby);
  for (std::size_t i = 0; i < programs_.Machines(); ++i) programs_.Kill(i);
  programs_.EmptyDisk(2);
  programs_.EmptyDisk(4);
  CHECK(VersionAfterRestart() == 4);
}

// Guards against two processes that both stay at one place.
TEST_CASE_METHOD(
    lost_disks_fixture,
    "control programs / restarted while another claims its place / "
    "one of the two waits") {
  programs_.Kill(0);
  REQUIRE(programs_.AwaitClaimed(0, kStartLimit));
  REQUIRE(programs_.AwaitStandbys(0, kStartLimit));
  programs_.Start(0, false);
  const bool one_waits = programs_.AwaitStandbys(1, kStartLimit);
  INFO(programs_.Logs());
  CHECK(one_waits);
}

}  // namespace
}  // namespace almond
