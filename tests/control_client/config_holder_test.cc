#include "libalmond/controllers/config_holder.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

class config_holder_fixture {
 protected:
  bool ApplyIfNewer(std::uint64_t version, config_source source,
                    const std::string& base = "good") {
    return holder_.ApplyIfNewer(config_version(version),
                                config_document{base, {}}.Serialize(), source);
  }

  int changes_ = 0;
  config_holder holder_{
      data_centre_id("nl-west-1"),
      {[](const config_document& document, const data_centre_id&) {
         return document.base == "good" ? std::optional(data_centre_config())
                                        : std::nullopt;
       },
       [this] { ++changes_; }}};
};

// Guards against a process that returns to an earlier configuration, or
// replaces the active one with a damaged or invalid document.
TEST_CASE_METHOD(config_holder_fixture,
                 "config holder / new document / applied only if newer and "
                 "valid") {
  REQUIRE(ApplyIfNewer(5, config_source::leader));
  const auto active_config = holder_.Site();
  CHECK_FALSE(ApplyIfNewer(4, config_source::leader));
  CHECK_FALSE(ApplyIfNewer(5, config_source::peer));
  CHECK_FALSE(ApplyIfNewer(6, config_source::leader, "faulty"));
  CHECK_FALSE(
      holder_.ApplyIfNewer(config_version(7), "{", config_source::leader));
  CHECK(holder_.Version() == config_version(5));
  CHECK(holder_.Site() == active_config);
  CHECK(changes_ == 1);
  CHECK(ApplyIfNewer(900, config_source::peer));
  CHECK(holder_.Version() == config_version(900));
  CHECK(changes_ == 2);
}

// Guards against a version that is reported as confirmed although the leader
// has not confirmed it.
TEST_CASE_METHOD(config_holder_fixture,
                 "config holder / confirmation / only by the leader") {
  holder_.OnNewestVersion(config_version(5));
  CHECK_FALSE(holder_.Confirmed());
  ApplyIfNewer(5, config_source::peer);
  CHECK_FALSE(holder_.Confirmed());
  holder_.OnNewestVersion(config_version(4));
  CHECK_FALSE(holder_.Confirmed());
  SECTION("announced") { holder_.OnNewestVersion(config_version(5)); }
  SECTION("fetched") { ApplyIfNewer(5, config_source::leader); }
  CHECK(holder_.Confirmed());
  ApplyIfNewer(6, config_source::peer);
  CHECK_FALSE(holder_.Confirmed());
}

}  // namespace
}  // namespace almond
