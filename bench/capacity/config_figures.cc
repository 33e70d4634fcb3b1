#include <cstdlib>
#include <string>
#include <vector>

#include "bench/capacity/figures.h"
#include "bench/capacity/slope.h"
#include "libalmond/config/config_document.h"
#include "libalmond/config/config_loader.h"

namespace almond::bench {
namespace {

constexpr std::size_t kTeams = 52;
constexpr std::size_t kDataCentres = 14;
constexpr std::size_t kRules = 10;

std::string DataCentreName(std::size_t number) {
  return "dc-" + std::to_string(number);
}

std::string Service(std::size_t number, std::size_t rules) {
  std::string text = "  service-" + std::to_string(number) +
                     ":\n    team: team-" + std::to_string(number % kTeams) +
                     "\n    default_timeout_ms: 5000\n    max_timeout_ms: 60000"
                     "\n    max_tasks_per_job: 400\n    max_body_bytes: 1048576"
                     "\n    suspend_after_ms: 2000\n    rules:\n";
  for (std::size_t i = 0; i < rules; ++i) {
    text +=
        "      - {kind: kind-" + std::to_string(i) + ", idempotent: true}\n";
  }
  return text;
}

/// Makes a base file with 52 teams, and for each data centre an overlay that
/// changes one key of every tenth service.
config_document Document(std::size_t services, std::size_t rules,
                         std::size_t centres) {
  config_document result;
  result.base = "data_centres: [" + DataCentreName(0);
  for (std::size_t i = 1; i < centres; ++i) {
    result.base += ", " + DataCentreName(i);
  }
  result.base += "]\nteams:\n";
  for (std::size_t i = 0; i < kTeams; ++i) {
    result.base += "  team-" + std::to_string(i) +
                   ": {weight: 4, max_queued_tasks: 20000, "
                   "max_running_tasks: 500}\n";
  }
  result.base += "services:\n";
  std::string overlay = "services:\n";
  for (std::size_t i = 0; i < services; ++i) {
    result.base += Service(i, rules);
    if (i % 10 == 0) {
      overlay += "  service-" + std::to_string(i) +
                 ":\n    default_timeout_ms: 4000\n";
    }
  }
  for (std::size_t i = 0; i < centres; ++i) {
    result.overlays[data_centre_id(DataCentreName(i))] = overlay;
  }
  return result;
}

measurement Check(const config_document& document) {
  const cost_meter used;
  const auto errors = CheckDocument(document);
  measurement result = used.Read();
  // The cost of checking an invalid document differs from that of a valid one.
  if (!errors.empty()) std::abort();
  result.bytes = static_cast<double>(document.Serialize().size());
  return result;
}

measurement Resolve(const config_document& document) {
  const cost_meter used;
  const auto merged =
      ResolveConfig(document, data_centre_id(DataCentreName(0)));
  if (!merged) std::abort();
  return used.Read();
}

/// Measures the processing of a fetched document before it is merged.
measurement Fetch(const config_document& document) {
  const std::string text = document.Serialize();
  const cost_meter used;
  const auto parsed = config_document::Parse(text);
  if (!parsed) std::abort();
  (void)parsed->Digest();
  return used.Read();
}

}  // namespace

void PrintConfig(std::size_t repeats) {
  const std::vector<std::size_t> services = {10, 50, 200};
  PrintSlope(
      "check, by service; 10 rules each, 14 data centres; bytes of the "
      "document",
      services, repeats, [](std::size_t size) {
        return Check(Document(size, kRules, kDataCentres));
      });
  PrintSlope("check, by rule of each of 50 services; bytes of the document",
             {2, 10, 50}, repeats, [](std::size_t size) {
               return Check(Document(50, size, kDataCentres));
             });
  PrintSlope("check, by data centre; 50 services; bytes of the document",
             {3, 7, 14}, repeats, [](std::size_t size) {
               return Check(Document(50, kRules, size));
             });
  PrintSlope("resolve for one data centre, by service; bytes in memory",
             services, repeats, [](std::size_t size) {
               return Resolve(Document(size, kRules, kDataCentres));
             });
  PrintSlope("parse and digest of a fetched text, by service; bytes in memory",
             services, repeats, [](std::size_t size) {
               return Fetch(Document(size, kRules, kDataCentres));
             });
}

}  // namespace almond::bench
