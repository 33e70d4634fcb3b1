#include "libalmond/config/route_config.h"

#include <catch2/catch.hpp>

#include "libalmond/controllers/route_holder.h"
#include "libalmond/filters/job_filters.h"

namespace almond {
namespace {

route MakeRoute(const std::string& host, const std::string& prefix) {
  route result;
  result.name = host + prefix;
  result.host = host;
  result.path_prefix = prefix;
  result.service = service_id("s");
  result.timeout = milliseconds(1500);
  return result;
}

route_config Config(std::uint64_t version, std::vector<route> routes) {
  return {config_version(version), std::move(routes), {service_id("s")}};
}

class route_fixture {
 protected:
  route_fixture() : holder_(clock_), filter_(MakeRouteFilter(holder_)) {}

  std::optional<refusal> Filter(const std::string& host,
                                const std::string& path) {
    context_ = {};
    context_.host = host;
    context_.path = path;
    return filter_(context_);
  }

  manual_clock clock_;
  route_holder holder_;
  filter_of<job_context> filter_;
  job_context context_;
};

TEST_CASE("route configuration / several errors / all reported") {
  route_config config =
      Config(1, {MakeRoute("a", "/x/"), MakeRoute("A", "/x/")});
  CHECK(CheckRoutes(config).size() == 1);
  config.routes[1] = MakeRoute("b", "/x/");
  CHECK(CheckRoutes(config).empty());
  config.routes[0].timeout = milliseconds(0);
  config.routes[1].service = service_id("other");
  config.version = config_version(0);
  CHECK(CheckRoutes(config).size() == 3);
}

TEST_CASE_METHOD(route_fixture,
                 "route filter / several matching prefixes / longest of the "
                 "host selected") {
  holder_.ApplyIfNewer(
      Config(1, {MakeRoute("a", "/x/"), MakeRoute("a", "/x/y/"),
                 MakeRoute("b", "/x/y/z/")}));
  CHECK_FALSE(Filter("A:8080", "/x/y/z/1"));
  CHECK(context_.rule->path_prefix == "/x/y/");
  CHECK(context_.name == "z/1");
}

TEST_CASE_METHOD(route_fixture,
                 "route filter / no configuration / refused as temporary") {
  CHECK(Filter("a", "/x/1")->reason == refusal_reason::no_configuration);
}

// Guards against a 404 for a route that was added while this process had no
// connection to the leader.
TEST_CASE_METHOD(
    route_fixture,
    "route filter / unknown route / unknown path only while fresh") {
  holder_.ApplyIfNewer(Config(4, {MakeRoute("a", "/x/")}));
  CHECK(Filter("a", "/y/")->reason == refusal_reason::no_configuration);
  holder_.OnNewestVersion(config_version(4));
  CHECK(Filter("a", "/y/")->reason == refusal_reason::unknown_path);
  holder_.OnNewestVersion(config_version(5));
  clock_.Advance(route_holder::kFreshnessTimeout);
  CHECK(Filter("a", "/y/")->reason == refusal_reason::no_configuration);
}

TEST_CASE_METHOD(route_fixture,
                 "route holder / older or equal version / ignored") {
  CHECK(holder_.ApplyIfNewer(Config(4, {MakeRoute("a", "/x/")})));
  CHECK_FALSE(holder_.ApplyIfNewer(Config(4, {})));
  CHECK_FALSE(holder_.ApplyIfNewer(Config(3, {})));
  CHECK(holder_.Routes()->routes.size() == 1);
}

}  // namespace
}  // namespace almond
