#include "libalmond/controllers/config_holder.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

class config_holder_fixture {
 protected:
  bool Offer(std::uint64_t version, config_source source,
             const std::string& base = "good") {
    return holder_.Offer(config_version(version),
                         config_document{base, {}}.Serialize(), source);
  }

  int changes_ = 0;
  config_holder holder_{
      data_centre_id("nl-west-1"),
      {[](const config_document& document, const data_centre_id&) {
         return document.base == "good" ? std::optional(site_config())
                                        : std::nullopt;
       },
       [this] { ++changes_; }}};
};

// Guards against a process that goes back to an earlier configuration, or
// loses the one in force to a damaged or faulty document.
TEST_CASE_METHOD(config_holder_fixture,
                 "config holder / offers / only a higher and sound one holds") {
  REQUIRE(Offer(5, config_source::leader));
  const auto site = holder_.Site();
  CHECK_FALSE(Offer(4, config_source::leader));
  CHECK_FALSE(Offer(5, config_source::peer));
  CHECK_FALSE(Offer(6, config_source::leader, "faulty"));
  CHECK_FALSE(holder_.Offer(config_version(7), "{", config_source::leader));
  CHECK(holder_.Version() == config_version(5));
  CHECK(holder_.Site() == site);
  CHECK(changes_ == 1);
  CHECK(Offer(900, config_source::peer));
  CHECK(holder_.Version() == config_version(900));
  CHECK(changes_ == 2);
}

// Guards against a version that is reported as confirmed without the leader.
TEST_CASE_METHOD(config_holder_fixture,
                 "config holder / confirmation / comes from the leader only") {
  holder_.Announced(config_version(5));
  CHECK_FALSE(holder_.Confirmed());
  Offer(5, config_source::peer);
  CHECK_FALSE(holder_.Confirmed());
  holder_.Announced(config_version(4));
  CHECK_FALSE(holder_.Confirmed());
  SECTION("announced") { holder_.Announced(config_version(5)); }
  SECTION("fetched") { Offer(5, config_source::leader); }
  CHECK(holder_.Confirmed());
  Offer(6, config_source::peer);
  CHECK_FALSE(holder_.Confirmed());
}

}  // namespace
}  // namespace almond
