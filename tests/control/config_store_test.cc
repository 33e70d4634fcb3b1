#include "libalmond/controllers/control/config_store.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

class config_store_fixture {
 protected:
  config_change Change(std::uint64_t expected, const std::string& document) {
    return {uuid::MakeV7(clock_.WallNow(), random_), config_version(expected),
            document, "digest of " + document};
  }
  change_result Apply(const config_change& change) {
    return store_.Apply(clock_.WallNow(), change);
  }
  void ApplyMany(std::uint64_t count) {
    for (std::uint64_t i = 0; i < count; ++i) {
      const std::uint64_t newest = store_.Newest().Value();
      REQUIRE(Apply(Change(newest, std::to_string(newest + 1))).outcome ==
              change_outcome::accepted);
    }
  }

  manual_clock clock_;
  std::mt19937_64 random_{1};
  config_store store_;
};

// Guards against two accepted changes that are based on the same version, so
// that both operators believe that theirs is in force.
TEST_CASE_METHOD(
    config_store_fixture,
    "config store / two changes based on one version / one is accepted") {
  CHECK(Apply(Change(0, "a")).outcome == change_outcome::accepted);
  CHECK(Apply(Change(0, "b")) == change_result{change_outcome::version_conflict,
                                               config_version(1),
                                               "digest of a"});
  CHECK(*store_.Document(config_version(1)) == "a");
}

// Guards against a resend that creates a second version, or that gets another
// answer after later changes have been accepted.
TEST_CASE_METHOD(
    config_store_fixture,
    "config store / change id resent / original answer or conflict") {
  config_change first = Change(0, "a");
  const change_result answer = Apply(first);
  ApplyMany(GENERATE(as<std::uint64_t>{}, 0, 1, 40, 1200));
  const config_version newest = store_.Newest();
  SECTION("same content") { CHECK(Apply(first) == answer); }
  SECTION("other content") {
    first.digest = "digest of b";
    CHECK(Apply(first).outcome == change_outcome::change_id_conflict);
  }
  CHECK(store_.Newest() == newest);
}

// Guards against memory that grows with every change, and against change ids
// that are dropped while an operator may still resend the change.
TEST_CASE_METHOD(config_store_fixture,
                 "config store / many changes / retention limits are kept") {
  const config_change first = Change(0, "a");
  Apply(first);
  ApplyMany(config_store::kMinChangeIds);
  const std::uint64_t newest = store_.Newest().Value();
  CHECK(store_.History().size() == config_store::kMaxHistoryEntries);
  CHECK(store_.History().back().version == store_.Newest());
  CHECK(store_.Document(config_version(newest - 31)) != nullptr);
  CHECK(store_.Document(config_version(newest - 32)) == nullptr);
  CHECK(store_.Document(config_version(newest + 1)) == nullptr);
  CHECK(Apply(first).outcome == change_outcome::accepted);
  clock_.Advance(config_store::kChangeIdRetention + milliseconds(1));
  ApplyMany(1);
  CHECK(Apply(first).outcome == change_outcome::version_conflict);
}

// Guards against an older configuration that is resent and takes effect, and
// against other content under the newest version.
TEST_CASE_METHOD(
    config_store_fixture,
    "config store / versioned configurations / highest version wins") {
  const auto apply = [this](std::uint64_t version,
                            const std::string& document) {
    return store_
        .Apply(clock_.WallNow(),
               versioned_config{config_version(version), document, document})
        .outcome;
  };
  CHECK(apply(4, "a") == change_outcome::accepted);
  CHECK(apply(9, "b") == change_outcome::accepted);
  CHECK(apply(9, "c") == change_outcome::not_newer);
  CHECK(apply(7, "d") == change_outcome::not_newer);
  CHECK(store_.Newest() == config_version(9));
  CHECK(*store_.Document(config_version(9)) == "b");
  CHECK(*store_.Document(config_version(4)) == "a");
  CHECK(store_.Document(config_version(5)) == nullptr);
}

// Guards against versioned configurations that are lost by a snapshot.
TEST_CASE_METHOD(config_store_fixture,
                 "config store / versioned configurations saved / loaded") {
  for (std::uint64_t version = 3; version < 300; version += 3) {
    store_.Apply(clock_.WallNow(),
                 versioned_config{config_version(version),
                                  std::to_string(version), "digest"});
  }
  byte_writer writer;
  store_.Save(writer);
  const std::string bytes = writer.Take();
  byte_reader reader(bytes);
  config_store loaded;
  REQUIRE(loaded.Load(reader));
  CHECK(loaded.Newest() == config_version(297));
  CHECK(*loaded.Document(config_version(297)) == "297");
}

}  // namespace
}  // namespace almond
