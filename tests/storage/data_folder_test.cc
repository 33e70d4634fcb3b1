#include "libalmond/storage/data_folder.h"

#include <boost/leaf.hpp>
#include <catch2/catch.hpp>

#include "storage/storage_error_text.h"
#include "storage/temporary_folder.h"

namespace almond {
namespace {

namespace leaf = boost::leaf;

class data_folder_fixture {
 protected:
  std::string Open(const std::string& cluster, const std::string& replica,
                   const std::function<void(data_folder&)>& use = {}) {
    return ErrorText([&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(folder, data_folder::Open(path_, cluster, replica));
      if (!folder.Identity()) {
        BOOST_LEAF_CHECK(folder.Initialise({cluster, replica, 77}));
      }
      if (use) use(folder);
      return {};
    });
  }

  temporary_folder parent_;
  const std::string path_ = parent_.File("data/control");
};

// Guards against a replica that starts with the files of another replica or
// cluster, or with damaged ones.
TEST_CASE_METHOD(
    data_folder_fixture,
    "data folder / wrong owner or damage / error names the cause") {
  struct fault_case {
    const char* cluster;
    const char* replica;
    std::function<void(const std::string&)> damage;
    const char* expected;
  };
  const std::vector<fault_case> cases = {
      {"c", "r1", [](const std::string&) {}, ""},
      {"c", "r2", [](const std::string&) {}, "belongs to the replica \"r1\""},
      {"d", "r1", [](const std::string&) {}, "belongs to the cluster \"c\""},
      {"c", "r1",
       [](const std::string& path) {
         temporary_folder::Write(path + "/identity", "c\nr1\n5\n");
       },
       "does not match its checksum"},
      {"c", "r1",
       [](const std::string& path) {
         std::filesystem::remove(path + "/identity");
         temporary_folder::Write(path + "/log", "entries");
       },
       "missing, but the folder has data"},
      {"c", "r1",
       [](const std::string& path) {
         std::filesystem::remove(path + "/identity");
         temporary_folder::Write(path + "/snapshot", "");
       },
       "missing, but the folder has data"},
  };
  for (const fault_case& fault : cases) {
    std::filesystem::remove_all(path_);
    REQUIRE(Open("c", "r1").empty());
    fault.damage(path_);
    const std::string error = Open(fault.cluster, fault.replica);
    INFO("expected '" << fault.expected << "', was '" << error << "'");
    CHECK(error.empty() == std::string(fault.expected).empty());
    CHECK(error.find(fault.expected) != std::string::npos);
  }
}

// Guards against two processes that use the same folder.
TEST_CASE_METHOD(data_folder_fixture,
                 "data folder / opened twice / second open is refused") {
  std::string second;
  CHECK(
      Open("c", "r1", [&](data_folder&) { second = Open("c", "r1"); }).empty());
  CHECK(second.find("another process uses this data folder") !=
        std::string::npos);
  CHECK(Open("c", "r1").empty());
}

// Guards against an incarnation that changes at a restart.
TEST_CASE_METHOD(data_folder_fixture,
                 "data folder / opened again / identity is kept") {
  CHECK(Open("c", "r1").empty());
  std::optional<folder_identity> found;
  CHECK(Open("c", "r1", [&](data_folder& folder) {
          found = folder.Identity();
        }).empty());
  CHECK(found == folder_identity{"c", "r1", 77});
}

}  // namespace
}  // namespace almond
