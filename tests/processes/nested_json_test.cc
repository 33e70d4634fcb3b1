#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "libalmond/config/config_document.h"
#include "libalmond/operator_commands/json_reply.h"
#include "libalmond/processes/control_process_codec.h"
#include "libalmond/processes/endpoint_codec.h"
#include "libalmond/processes/replica_assignment.h"

namespace almond {
namespace {

using nlohmann::json;

/// Adds a field that no decoder reads, with deeply nested arrays.
std::string WithDeepField(const json& body) {
  std::string text = body.dump();
  constexpr std::size_t kLevels = 100000;
  text.back() = ',';
  return text + "\"extra\":" + std::string(kLevels, '[') +
         std::string(kLevels, ']') + "}";
}

// Guards against processes that end because of one deeply nested body.
TEST_CASE("nested json / each decoder of another process's text / refused") {
  const json endpoint = {
      {"service", "s"}, {"url", "http://10.0.0.1:80"}, {"slots", 2}};
  const auto announced = [](const std::string& text) {
    return std::holds_alternative<endpoint_announcement>(
        ParseEndpointAnnouncement(text));
  };
  REQUIRE(announced(endpoint.dump()));
  CHECK_FALSE(announced(WithDeepField(endpoint)));

  const replica_address_change move{"b", "10.0.0.9:1", "10.0.0.9:2",
                                    "10.0.0.9:3"};
  const json moved = json::parse(EncodeReplicaAddressChange(move));
  CHECK_FALSE(DecodeReplicaAddressChange(WithDeepField(moved)));
  const json claim = json::parse(EncodeReplicaClaim({move, ""}));
  CHECK_FALSE(DecodeReplicaClaim(WithDeepField(claim)));

  const json status = {{"replicas", json::array()}};
  REQUIRE(ParseReplicaLiveness(status.dump()));
  CHECK_FALSE(ParseReplicaLiveness(WithDeepField(status)));

  const json document = {{"base", "a: 1"}};
  REQUIRE(config_document::Parse(document.dump()));
  CHECK_FALSE(config_document::Parse(WithDeepField(document)));

  REQUIRE(ParseReply(document.dump()).is_object());
  CHECK_FALSE(ParseReply(WithDeepField(document)).is_object());

  const auto change = ParseChange(WithDeepField(document));
  REQUIRE(std::holds_alternative<http_response>(change));
  CHECK(std::get<http_response>(change).body.find("bad-json") !=
        std::string::npos);
}

}  // namespace
}  // namespace almond
